package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

type capacityCommand struct {
	app    *App
	Period time.Duration `long:"period" default:"4s" description:"length of a row"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

func (a *App) addCapacity() error {
	_, err := a.Parser.AddCommand("capacity", "Show what the engines did over time, from log files",
		"Reads the logs of control instances and prints, for each service, model and period, the engine seconds by state. A FILE of - is the standard input.",
		&capacityCommand{app: a})
	return err
}

// Execute implements flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	if c.Period <= 0 {
		return exitErrorf(ExitUsage, "the period must be positive")
	}
	lines, err := readLogs(c.Args.Files)
	if err != nil {
		return err
	}
	return printCapacity(c.app.Out, c.Period, lines)
}

// capacitySample is what the leader logged about the engines of a service.
type capacitySample struct {
	Service string `json:"service"`
	// Engines counts the engines by model and state, and those without a group by
	// state under the model "".
	Engines map[string]map[string]int `json:"engines"`
	// Stages counts the groups by model and stage.
	Stages map[string]map[string]int `json:"stages"`
	// Work is the offered work of each model in fully used groups.
	Work map[string]float64 `json:"work"`
	at   time.Time
}

// maxSampleGap is the longest time that a sample stands for. Samples are logged
// every two seconds, and are absent while there is no leader.
const maxSampleGap = 6 * time.Second

// States of the table besides the stages of groups. A serving engine counts as
// used in proportion to the offered work.
const (
	stateUsed = "used"
	stateIdle = "idle"
	// stateServing is the stage of groups that the table splits into used and idle.
	stateServing = "serving"
)

// capacityRow identifies a row of the table.
type capacityRow struct {
	service string
	period  int
	model   string
}

// printCapacity prints the engine seconds by period, model and state.
func printCapacity(out io.Writer, period time.Duration, lines []logLine) error {
	samples := capacitySamples(lines)
	if len(samples) == 0 {
		return exitErrorf(ExitError, "no line about the engines in the logs")
	}
	rows := map[capacityRow]map[string]float64{}
	states := map[string]bool{}
	for i, s := range samples {
		duration := maxSampleGap
		for _, next := range samples[i+1:] {
			if next.Service == s.Service {
				duration = min(next.at.Sub(s.at), maxSampleGap)
				break
			}
		}
		for model, counts := range s.Engines {
			row := capacityRow{s.Service, int(s.at.Sub(samples[0].at) / period), model}
			if rows[row] == nil {
				rows[row] = map[string]float64{}
			}
			for state, n := range splitServing(counts, s.Stages[model], s.Work[model]) {
				rows[row][state] += n * duration.Seconds()
				states[state] = true
			}
		}
	}
	return writeCapacity(out, period, rows, slices.Sorted(maps.Keys(states)))
}

// capacitySamples returns the samples in order of time.
func capacitySamples(lines []logLine) []capacitySample {
	var samples []capacitySample
	for _, l := range lines {
		if l.message != "groups" {
			continue
		}
		encoded, err := json.Marshal(l.fields)
		s := capacitySample{at: l.at}
		if err != nil || json.Unmarshal(encoded, &s) != nil || s.Engines == nil {
			continue
		}
		samples = append(samples, s)
	}
	slices.SortStableFunc(samples, func(a, b capacitySample) int { return a.at.Compare(b.at) })
	return samples
}

// splitServing replaces the serving engines of a model by used and idle ones,
// according to the offered work.
func splitServing(counts, groups map[string]int, work float64) map[string]float64 {
	split := map[string]float64{}
	for state, n := range counts {
		if state != stateServing {
			split[state] = float64(n)
			continue
		}
		use := min(work/float64(max(groups[stateServing], 1)), 1)
		split[stateUsed] = use * float64(n)
		split[stateIdle] = (1 - use) * float64(n)
	}
	return split
}

func writeCapacity(out io.Writer, period time.Duration, rows map[capacityRow]map[string]float64, states []string) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "service\tfrom\tmodel\t%s\t\n", strings.Join(states, "\t"))
	order := slices.SortedFunc(maps.Keys(rows), func(a, b capacityRow) int {
		if a.service != b.service {
			return strings.Compare(a.service, b.service)
		}
		if a.period != b.period {
			return a.period - b.period
		}
		return strings.Compare(a.model, b.model)
	})
	for _, row := range order {
		model := row.model
		if model == "" {
			model = "(no group)"
		}
		fmt.Fprintf(table, "%s\t%v\t%s\t", row.service, time.Duration(row.period)*period, model)
		for _, state := range states {
			fmt.Fprintf(table, "%.0f\t", rows[row][state])
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}
