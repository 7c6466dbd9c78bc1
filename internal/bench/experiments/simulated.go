package experiments

import (
	"context"
	"fmt"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/bench"
	"github.com/bluebellfield/bluebellfield/internal/bench/admissionload"
	"github.com/bluebellfield/bluebellfield/internal/bench/grouppolicy"
	"github.com/bluebellfield/bluebellfield/internal/bench/routingload"
)

// Targets of the experiments on admission and routing.
const (
	minGoodputRatio  = 0.98
	maxP99Ratio      = 1.1
	minRemainingUsed = 0.95
	// maxRetryShare is the maximum ratio of retries to first attempts in an
	// outage.
	maxRetryShare = 0.1
)

func runAdmission(ctx context.Context, o bench.Options) (*bench.Result, error) {
	r := &bench.Result{}
	runs := bench.Table{Title: "runs", Columns: []string{"load", "policy", "paying offered", "good", "p50 s", "p99 s", "free slot-s", "idle while waiting"}}
	var details []admissionload.Result
	goodput, p99, remainingUsed, idle := 1.0, 0.0, 2.0, 0.0
	for _, load := range []float64{0.5, 1, 2, 5} {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		o.ReportProgress("load %g", load)
		options := admissionload.Options{Seed: o.Seed, Load: load}
		if o.Short {
			options.Warmup, options.Duration = 20*time.Second, 20*time.Second
		}
		result := admissionload.Run(options)
		details = append(details, result)
		for _, run := range append([]admissionload.RunResult{result.WithoutFree, result.Admission}, result.Baselines...) {
			runs.AddRow(load, run.Policy, run.Paying.Offered, run.Paying.Good, run.Paying.P50.Seconds(), run.Paying.P99.Seconds(), run.Free.SlotSeconds, run.IdleWhileWaiting)
		}
		runs.Rows[len(runs.Rows)-len(result.Baselines)-2][1] = "admission, no free"
		goodput, p99 = min(goodput, result.GoodputRatio), max(p99, result.P99Ratio)
		remainingUsed, idle = min(remainingUsed, result.RemainingUsed), max(idle, result.Admission.IdleWhileWaiting)
	}
	r.Tables, r.Details = []bench.Table{runs}, details
	r.AtLeast("paying goodput with free traffic over without, worst load", goodput, minGoodputRatio, "")
	r.AtMost("paying p99 with free traffic over without, worst load", p99, maxP99Ratio, "")
	r.AtLeast("remaining capacity used by free callers, worst load", remainingUsed, minRemainingUsed, "")
	r.AtMost("idle share of slots while work waits, worst load", idle, 0, "")
	return r, nil
}

func runGroup(ctx context.Context, o bench.Options) (*bench.Result, error) {
	r := &bench.Result{}
	table := bench.Table{Title: "cost of downtime and stranded accelerators", Columns: []string{
		"size", "weights", "policy", "downtime group-s", "stranded accelerator-s", "weighted cost"}}
	var details []grouppolicy.Result
	profiles := []struct {
		name    string
		weights grouppolicy.Weights
	}{{"Cascade", grouppolicy.Cascade}, {"Pièce Perdue", grouppolicy.PiecePerdue}}
	for _, size := range []string{grouppolicy.Today, grouppolicy.Planned} {
		for _, p := range profiles {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			days := traceDays(o, size)
			o.ReportProgress("size %s, weights of %s, %d days", size, p.name, days)
			result, err := grouppolicy.Run(grouppolicy.Options{Seed: o.Seed, Size: size, Days: days, Profile: p.weights})
			if err != nil {
				return nil, err
			}
			details = append(details, result)
			bestCost := result.Baselines[0].WeightedCost
			for _, run := range append([]grouppolicy.Outcome{result.Policy}, result.Baselines...) {
				table.AddRow(size, p.name, run.Policy, run.DowntimeGroupSeconds, run.StrandedAcceleratorSeconds, run.WeightedCost)
			}
			for _, b := range result.Baselines {
				bestCost = min(bestCost, b.WeightedCost)
			}
			r.Targets = append(r.Targets, bench.Target{
				Name: size + ", " + p.name + ": weighted cost", Bound: "below each baseline",
				Actual: percent(result.Policy.WeightedCost / bestCost), Met: result.Better,
			})
		}
	}
	r.Tables, r.Details = []bench.Table{table}, details
	return r, nil
}

// traceDays returns the length of the fault trace. The planned size has a fault
// every few minutes, so that a shorter trace suffices.
func traceDays(o bench.Options, size string) int {
	if size == grouppolicy.Planned {
		return bench.ShortOrFull(o, 1, 7)
	}
	return bench.ShortOrFull(o, 7, 60)
}

func runRouting(_ context.Context, o bench.Options) (*bench.Result, error) {
	options := routingload.DefaultOptions()
	options.Seed = uint64(o.Seed)
	options.Progress = func(part string) { o.ReportProgress("%s", part) }
	if o.Short {
		options.Warmup, options.Duration = 10*time.Second, 20*time.Second
	}
	result := routingload.Run(options)
	policies := bench.Table{Title: "policies", Columns: []string{"policy", "requests", "hit rate", "first token p50 ms", "p95 ms", "p99 ms", "max/mean load", "max/mean arrivals"}}
	router, bestBaseline := result.Policies[0], routingload.PolicyResult{}
	bestBaseline.FirstToken.P95 = router.FirstToken.P95 * 1e9
	for _, p := range result.Policies {
		policies.AddRow(p.Policy, p.Requests, p.HitRate, p.FirstToken.P50, p.FirstToken.P95, p.FirstToken.P99, p.Balance.Mean, p.Herd.Mean)
		if p.Policy != routingload.PolicyRouter {
			bestBaseline.HitRate = max(bestBaseline.HitRate, p.HitRate)
			bestBaseline.FirstToken.P95 = min(bestBaseline.FirstToken.P95, p.FirstToken.P95)
		}
	}
	crashes := bench.Table{Title: "crash-causing requests", Columns: []string{"quarantine", "delay ms", "culprits", "resends", "upstreams lost", "most to one", "bound", "innocent refused"}}
	for _, c := range result.Crashes {
		crashes.AddRow(c.Quarantine, c.DelayMillis, c.Culprits, c.Resends, c.UpstreamsLost, c.MostLost, c.Bound, c.InnocentRefused)
	}
	outages := bench.Table{Title: "outages", Columns: []string{"budget", "failing", "first attempts", "retries", "added", "bound with burst", "succeeded"}}
	r := &bench.Result{Details: result}
	r.AtLeast("prefix hit rate of the router over the best baseline", router.HitRate/bestBaseline.HitRate, 1, "")
	r.AtMost("p95 of the time to first token over the best baseline", router.FirstToken.P95/bestBaseline.FirstToken.P95, 1, "")
	for _, c := range result.Crashes {
		if c.Quarantine {
			r.AtMost(fmt.Sprintf("upstreams lost to one request, messages up to %d ms late", c.DelayMillis), float64(c.MostLost), float64(c.Bound), "")
		}
	}
	for _, out := range result.Outages {
		outages.AddRow(out.Budget, out.Failing, out.FirstAttempts, out.Retries, out.Added, out.Bound, out.Succeeded)
		if out.Budget {
			r.AtMost("load added by retries, share failing "+percent(out.Failing), out.Added, maxRetryShare, "")
		}
	}
	r.Tables = []bench.Table{policies, crashes, outages}
	return r, nil
}
