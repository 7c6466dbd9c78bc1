package routingload

import (
	"fmt"
	"testing"
)

// BenchmarkRun logs the results for five seeds, with 65 engines (the current
// deployment) and 420 (one failure domain of the planned deployment).
func BenchmarkRun(b *testing.B) {
	for _, engines := range []int{65, 420} {
		for seed := range uint64(5) {
			b.Run(fmt.Sprintf("engines=%d/seed=%d", engines, seed+1), func(b *testing.B) {
				var r Result
				for range b.N {
					r = Run(Options{Seed: seed + 1, Engines: engines})
				}
				for _, p := range r.Policies {
					b.Logf("%-17s hit %.3f first token ms %.0f %.0f %.0f load %.2f %.2f arrivals %.1f %.1f refused %d", p.Policy, p.HitRate,
						p.FirstToken.P50, p.FirstToken.P95, p.FirstToken.P99, p.Balance.P50, p.Balance.P99, p.Herd.P50, p.Herd.P99, p.Refused)
				}
				// go test prints at most ten log lines per benchmark.
				b.Logf("%+v", r.Crashes)
				b.Logf("%+v", r.Outages)
			})
		}
	}
}
