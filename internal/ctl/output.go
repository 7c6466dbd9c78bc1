package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/bluebellfield/bluebellfield/settings"
)

// table writes aligned columns.
type table struct{ w *tabwriter.Writer }

func (t *table) row(cells ...any) {
	columns := make([]string, len(cells))
	for i, c := range cells {
		columns[i] = fmt.Sprint(c)
	}
	// tabwriter keeps unwritten rows, so Flush returns the error of a failed
	// write.
	_, _ = fmt.Fprintln(t.w, strings.Join(columns, "\t"))
}

// print writes data as JSON, or as the table whose rows fill adds.
func (a *App) print(data any, fill func(t *table)) error {
	if a.JSON() {
		return a.printJSON(data)
	}
	t := &table{w: tabwriter.NewWriter(a.Out, 0, 4, 2, ' ', 0)}
	fill(t)
	return t.w.Flush()
}

func (a *App) printJSON(data any) error {
	e := json.NewEncoder(a.Out)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(data)
}

func (a *App) printDiff(rows []settings.Difference) error {
	if rows == nil {
		rows = []settings.Difference{}
	}
	return a.print(rows, func(t *table) {
		for _, d := range rows {
			switch {
			case d.Added:
				t.row("+ " + d.Path)
			case d.Removed:
				t.row("- " + d.Path)
			case !d.Before.IsSet():
				t.row("+ "+d.Path, d.Key, d.After)
			case !d.After.IsSet():
				t.row("- "+d.Path, d.Key, d.Before)
			default:
				t.row("~ "+d.Path, d.Key, d.Before.String()+" -> "+d.After.String())
			}
		}
	})
}

func formatMillis(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
