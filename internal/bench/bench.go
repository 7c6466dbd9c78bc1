// Package bench defines the experiments run by bluebellctl bench and writes
// their results as tables or JSON.
package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Options configures a run of an experiment.
type Options struct {
	Seed int64
	// Short selects a shorter run with less precise figures.
	Short bool
	// Progress, if set, receives progress messages.
	Progress func(format string, args ...any)
}

// ReportProgress passes a message to Progress, if set.
func (o Options) ReportProgress(format string, args ...any) {
	if o.Progress != nil {
		o.Progress(format, args...)
	}
}

// ShortOrFull returns short if o.Short is set, and full otherwise.
func ShortOrFull[T any](o Options, short, full T) T {
	if o.Short {
		return short
	}
	return full
}

// Experiment describes a subcommand of bluebellctl bench and its function.
type Experiment struct {
	Name        string
	Description string
	Run         func(ctx context.Context, o Options) (*Result, error)
}

// Result holds the measurements of a run and the targets they are checked
// against.
type Result struct {
	Experiment string   `json:"experiment"`
	Seed       int64    `json:"seed"`
	Short      bool     `json:"short"`
	Targets    []Target `json:"targets"`
	Tables     []Table  `json:"tables"`
	// Details holds the complete result type of the experiment's package.
	Details any `json:"details,omitempty"`
}

// Target compares a measured figure with its bound.
type Target struct {
	Name   string `json:"name"`
	Bound  string `json:"bound"`
	Actual string `json:"actual"`
	Met    bool   `json:"met"`
}

// Table holds figures formatted for output.
type Table struct {
	Title   string     `json:"title"`
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

// AddRow appends a row. Floating-point numbers are formatted with four
// significant digits, or without decimals from 1000 on.
func (t *Table) AddRow(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = formatCell(c)
	}
	t.Rows = append(t.Rows, row)
}

func formatCell(c any) string {
	if f, ok := c.(float64); ok {
		if f >= 1000 || f <= -1000 {
			return fmt.Sprintf("%.0f", f)
		}
		return fmt.Sprintf("%.4g", f)
	}
	return fmt.Sprint(c)
}

// AtMost adds a target with an upper bound.
func (r *Result) AtMost(name string, actual, bound float64, unit string) {
	r.Targets = append(r.Targets, Target{name, "at most " + formatCell(bound) + unit, formatCell(actual) + unit, actual <= bound})
}

// AtLeast adds a target with a lower bound.
func (r *Result) AtLeast(name string, actual, bound float64, unit string) {
	r.Targets = append(r.Targets, Target{name, "at least " + formatCell(bound) + unit, formatCell(actual) + unit, actual >= bound})
}

// Check adds a target that the caller has evaluated.
func (r *Result) Check(name, bound, actual string, met bool) {
	r.Targets = append(r.Targets, Target{name, bound, actual, met})
}

// WriteJSON writes the result as indented JSON.
func (r *Result) WriteJSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(r)
}

// WriteTable writes the tables, followed by a table of the targets.
func (r *Result) WriteTable(out io.Writer) error {
	tables := append([]Table(nil), r.Tables...)
	targets := Table{Title: "targets", Columns: []string{"target", "bound", "measured", "verdict"}}
	for _, t := range r.Targets {
		verdict := "MISSED"
		if t.Met {
			verdict = "met"
		}
		targets.AddRow(t.Name, t.Bound, t.Actual, verdict)
	}
	if len(r.Targets) > 0 {
		tables = append(tables, targets)
	}
	if _, err := fmt.Fprintf(out, "experiment %s, seed %d, short %v\n", r.Experiment, r.Seed, r.Short); err != nil {
		return err
	}
	for _, t := range tables {
		if _, err := fmt.Fprintf(out, "\n%s\n", t.Title); err != nil {
			return err
		}
		w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		// tabwriter buffers its output: write errors surface in Flush.
		_, _ = fmt.Fprintln(w, strings.Join(t.Columns, "\t"))
		for _, row := range t.Rows {
			_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}
