// Package experiments lists the experiments and registers them as subcommands
// of bluebellctl bench.
package experiments

import (
	"fmt"

	"github.com/bluebellfield/bluebellfield/internal/bench"
	"github.com/bluebellfield/bluebellfield/internal/bench/control"
	"github.com/bluebellfield/bluebellfield/internal/bench/recovery"
	"github.com/bluebellfield/bluebellfield/internal/bench/serving"
	"github.com/bluebellfield/bluebellfield/internal/bench/settingsfeed"
	"github.com/bluebellfield/bluebellfield/internal/ctl"
)

// All returns all experiments.
func All() []bench.Experiment {
	return []bench.Experiment{
		{Name: "admission", Description: "Overload with nine tenths free traffic", Run: runAdmission},
		{Name: "group", Description: "Group repair under fault traces", Run: runGroup},
		{Name: "routing", Description: "Prefix-cache routing, quarantine and retries", Run: runRouting},
		settingsfeed.Experiment,
		recovery.Experiment,
		control.Experiment,
		serving.Experiment,
	}
}

// command is the subcommand of one experiment.
type command struct {
	app        *ctl.App
	experiment bench.Experiment
	Seed       int64 `long:"seed" default:"1" description:"seed of everything random"`
	Short      bool  `long:"short" description:"quick run with rough figures"`
}

// Execute implements flags.Commander. It does not return an error for a missed
// target, which is part of the result.
func (c *command) Execute(args []string) error {
	if len(args) > 0 {
		return &ctl.CommandError{Code: ctl.ExitUsage, Err: fmt.Errorf("unexpected argument %q", args[0])}
	}
	o := bench.Options{Seed: c.Seed, Short: c.Short, Progress: func(format string, args ...any) {
		fmt.Fprintf(c.app.Err, c.experiment.Name+": "+format+"\n", args...)
	}}
	r, err := c.experiment.Run(c.app.Context(), o)
	if err != nil {
		return fmt.Errorf("experiment %s: %w", c.experiment.Name, err)
	}
	r.Experiment, r.Seed, r.Short = c.experiment.Name, c.Seed, c.Short
	if c.app.JSON() {
		return r.WriteJSON(c.app.Out)
	}
	return r.WriteTable(c.app.Out)
}

// Register adds the command "bench" and its subcommands to the parser of app.
func Register(app *ctl.App) error {
	parent, err := app.Parser.AddCommand("bench", "Run an experiment",
		"Runs an experiment and prints its figures and whether its targets are met.", &struct{}{})
	if err != nil {
		return fmt.Errorf("command bench: %w", err)
	}
	for _, e := range All() {
		if _, err := parent.AddCommand(e.Name, e.Description, "", &command{app: app, experiment: e}); err != nil {
			return fmt.Errorf("command bench %s: %w", e.Name, err)
		}
	}
	return nil
}
