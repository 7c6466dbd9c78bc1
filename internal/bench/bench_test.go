package bench

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against wrong coefficients for exact, constant and uncorrelated points.
func TestFitLine(t *testing.T) {
	for _, c := range []struct {
		name string
		y    []float64
		want Fit
	}{
		{"exact", []float64{3, 5, 7, 9}, Fit{2, 1, 1}},
		{"constant", []float64{4, 4, 4, 4}, Fit{0, 4, 1}},
		{"no trend", []float64{1, -1, -1, 1}, Fit{0, 0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := FitLine([]float64{1, 2, 3, 4}, c.y)
			require.InDelta(t, c.want.Slope, f.Slope, 1e-9)
			require.InDelta(t, c.want.Intercept, f.Intercept, 1e-9)
			require.InDelta(t, c.want.R2, f.R2, 1e-9)
		})
	}
}

// Guards against a missed target that is absent from the table or the JSON output.
func TestMissedTargetIsPrinted(t *testing.T) {
	r := &Result{Experiment: "x"}
	r.AtMost("latency", 3, 2, " s")
	r.AtLeast("goodput", 0.99, 0.98, "")
	var table, data strings.Builder
	require.NoError(t, r.WriteTable(&table))
	require.NoError(t, r.WriteJSON(&data))
	require.Contains(t, table.String(), "MISSED")
	require.Contains(t, data.String(), `"met": false`)
	require.Contains(t, data.String(), `"met": true`)
}
