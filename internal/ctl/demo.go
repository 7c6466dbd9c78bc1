package ctl

import (
	"encoding/json"
	"io"

	"github.com/bluebellfield/bluebellfield/internal/demo"
)

// demoCommand runs the demonstration of package demo.
type demoCommand struct{ app *App }

// addDemo adds the command "demo".
func (a *App) addDemo() error {
	_, err := a.Parser.AddCommand("demo", "Run a demonstration with seven daemons on this machine",
		"Runs seven daemons and fake upstreams in this process on loopback and checks their behavior. The exit code is 1 when a check fails.",
		&demoCommand{a})
	return err
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	out := c.app.Out
	if c.app.JSON() {
		out = io.Discard
	}
	results, err := demo.Run(c.app.Context(), out)
	if c.app.JSON() {
		encoder := json.NewEncoder(c.app.Out)
		encoder.SetIndent("", "  ")
		if printErr := encoder.Encode(results); printErr != nil {
			return printErr
		}
	}
	return err
}
