// Package bench defines what an experiment of bluebellctl bench is and how its
// report is printed.
package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Options of a run.
type Options struct {
	Seed int64
	// Short asks for a quick run, whose figures are rough.
	Short bool
	// Progress, if set, is told what a long run does.
	Progress func(format string, args ...any)
}

// Report passes a line on to Progress.
func (o Options) Report(format string, args ...any) {
	if o.Progress != nil {
		o.Progress(format, args...)
	}
}

// Pick returns short for a quick run and long otherwise.
func Pick[T any](o Options, short, long T) T {
	if o.Short {
		return short
	}
	return long
}

// Experiment is one experiment.
type Experiment struct {
	Name        string
	Description string
	Run         func(ctx context.Context, o Options) (*Result, error)
}

// Result is what a run measured.
type Result struct {
	Experiment string   `json:"experiment"`
	Seed       int64    `json:"seed"`
	Short      bool     `json:"short"`
	Targets    []Target `json:"targets"`
	Tables     []Table  `json:"tables"`
	// Details holds the whole result of the experiment's package.
	Details any `json:"details,omitempty"`
}

// Target is a figure with a bound.
type Target struct {
	Name   string `json:"name"`
	Bound  string `json:"bound"`
	Actual string `json:"actual"`
	Met    bool   `json:"met"`
}

// Table is a table of figures.
type Table struct {
	Title   string     `json:"title"`
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

// Row adds a row. Floating-point numbers are printed with four digits.
func (t *Table) Row(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = cell(c)
	}
	t.Rows = append(t.Rows, row)
}

func cell(c any) string {
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
	r.Targets = append(r.Targets, Target{name, "at most " + cell(bound) + unit, cell(actual) + unit, actual <= bound})
}

// AtLeast adds a target with a lower bound.
func (r *Result) AtLeast(name string, actual, bound float64, unit string) {
	r.Targets = append(r.Targets, Target{name, "at least " + cell(bound) + unit, cell(actual) + unit, actual >= bound})
}

// Check adds a target that holds or does not.
func (r *Result) Check(name, bound, actual string, met bool) {
	r.Targets = append(r.Targets, Target{name, bound, actual, met})
}

// WriteJSON writes the result as JSON.
func (r *Result) WriteJSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(r)
}

// WriteTable writes the tables and the targets.
func (r *Result) WriteTable(out io.Writer) error {
	tables := append([]Table(nil), r.Tables...)
	targets := Table{Title: "targets", Columns: []string{"target", "bound", "measured", "verdict"}}
	for _, t := range r.Targets {
		verdict := "MISSED"
		if t.Met {
			verdict = "met"
		}
		targets.Row(t.Name, t.Bound, t.Actual, verdict)
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
		// The writer keeps the error for Flush.
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
