package admissionload

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against free traffic that degrades paying traffic at twice the
// capacity, and against remaining capacity that free traffic does not get.
func TestTargetsAtTwiceCapacity(t *testing.T) {
	t.Parallel()
	for _, inOrder := range []bool{false, true} {
		t.Run(fmt.Sprint("in order ", inOrder), func(t *testing.T) {
			t.Parallel()
			r := Run(Options{Seed: 1, Load: 2, Duration: 10 * time.Second, IgnorePriorities: inOrder, SkipBaselines: true})
			require.GreaterOrEqual(t, r.GoodputRatio, 0.98)
			require.LessOrEqual(t, r.P99Ratio, 1.1)
			require.GreaterOrEqual(t, r.RemainingUsed, 0.95)
			require.LessOrEqual(t, r.Admission.IdleWhileWaiting, 0.01)
		})
	}
}

// Guards against results that differ between runs with the same seed, and
// against field values that JSON cannot represent, such as NaN.
func TestRunIsDeterministic(t *testing.T) {
	t.Parallel()
	// A caller timeout of 10 s keeps the run short under -race. The warm-up
	// extends beyond 6 s, when the first leases of shares begin.
	o := Options{Seed: 1, Load: 2, Warmup: 8 * time.Second, Duration: 5 * time.Second, Timeout: 10 * time.Second}
	first, err := json.Marshal(Run(o))
	require.NoError(t, err)
	second, err := json.Marshal(Run(o))
	require.NoError(t, err)
	require.Equal(t, string(first), string(second))
}

// BenchmarkExperiment reports the worst values over five seeds for each load.
// Run it with -benchtime 1x, since one iteration runs the whole experiment.
func BenchmarkExperiment(b *testing.B) {
	for _, ignore := range []bool{false, true} {
		for _, load := range []float64{0.5, 1, 2, 5} {
			b.Run(fmt.Sprintf("fifo=%v/load=%v", ignore, load), func(b *testing.B) {
				for range b.N {
					worst := map[string]float64{"goodput": 1, "used": 2}
					for seed := range int64(5) {
						r := Run(Options{Seed: seed + 1, Load: load, IgnorePriorities: ignore, SkipBaselines: ignore})
						worst["goodput"] = min(worst["goodput"], r.GoodputRatio)
						worst["used"] = min(worst["used"], r.RemainingUsed)
						worst["p99s"] = max(worst["p99s"], r.Admission.Paying.P99.Seconds())
						worst["p99ratio"] = max(worst["p99ratio"], r.P99Ratio)
						worst["wait99ms"] = max(worst["wait99ms"], float64(r.Admission.Paying.WaitP99.Milliseconds()))
						worst["idle‰"] = max(worst["idle‰"], 1000*r.Admission.IdleWhileWaiting)
						worst["entryidle‰"] = max(worst["entryidle‰"], 1000*r.Admission.IdleEntryWaits)
						worst["refused"] = max(worst["refused"], float64(r.Admission.Refused))
						worst["wasted‰"] = max(worst["wasted‰"], 1000*r.Admission.WastedSeconds/r.Admission.Capacity)
						for _, base := range r.Baselines {
							name := strings.ReplaceAll(string(base.Policy), " ", "-")
							worst[name+"-p99s"] = max(worst[name+"-p99s"], base.Paying.P99.Seconds())
							worst[name+"-lost"] = max(worst[name+"-lost"], 1-ratio(base.Paying.Good, r.WithoutFree.Paying.Good))
						}
					}
					for name, value := range worst {
						b.ReportMetric(value, name)
					}
				}
			})
		}
	}
}
