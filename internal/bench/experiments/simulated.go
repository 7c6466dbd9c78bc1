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
	minGoodput       = 0.98
	maxP99Ratio      = 1.1
	minRemainingUsed = 0.95
	// maxRetryLoad is the load that retries may add in an outage.
	maxRetryLoad = 0.1
)

func admission(ctx context.Context, o bench.Options) (*bench.Result, error) {
	r := &bench.Result{}
	runs := bench.Table{Title: "runs", Columns: []string{"load", "policy", "paying offered", "good", "p50 s", "p99 s", "free slot-s", "idle while waiting"}}
	var details []admissionload.Result
	goodput, p99, used, idle := 1.0, 0.0, 2.0, 0.0
	for _, load := range []float64{0.5, 1, 2, 5} {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		o.Report("load %g", load)
		in := admissionload.Options{Seed: o.Seed, Load: load}
		if o.Short {
			in.Warmup, in.Duration = 20*time.Second, 20*time.Second
		}
		d := admissionload.Run(in)
		details = append(details, d)
		for _, run := range append([]admissionload.RunResult{d.WithoutFree, d.Admission}, d.Baselines...) {
			runs.Row(load, run.Policy, run.Paying.Offered, run.Paying.Good, run.Paying.P50.Seconds(), run.Paying.P99.Seconds(), run.Free.SlotSeconds, run.IdleWhileWaiting)
		}
		runs.Rows[len(runs.Rows)-len(d.Baselines)-2][1] = "admission, no free"
		goodput, p99 = min(goodput, d.GoodputRatio), max(p99, d.P99Ratio)
		used, idle = min(used, d.RemainingUsed), max(idle, d.Admission.IdleWhileWaiting)
	}
	r.Tables, r.Details = []bench.Table{runs}, details
	r.AtLeast("paying goodput with free traffic over without, worst load", goodput, minGoodput, "")
	r.AtMost("paying p99 with free traffic over without, worst load", p99, maxP99Ratio, "")
	r.AtLeast("remaining capacity used by free callers, worst load", used, minRemainingUsed, "")
	r.AtMost("idle share of slots while work waits, worst load", idle, 0, "")
	return r, nil
}

func group(ctx context.Context, o bench.Options) (*bench.Result, error) {
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
			days := groupDays(o, size)
			o.Report("size %s, weights of %s, %d days", size, p.name, days)
			d, err := grouppolicy.Run(grouppolicy.Options{Seed: o.Seed, Size: size, Days: days, Profile: p.weights})
			if err != nil {
				return nil, err
			}
			details = append(details, d)
			best := d.Baselines[0].WeightedCost
			for _, run := range append([]grouppolicy.Outcome{d.Policy}, d.Baselines...) {
				table.Row(size, p.name, run.Policy, run.DowntimeGroupSeconds, run.StrandedAcceleratorSeconds, run.WeightedCost)
			}
			for _, b := range d.Baselines {
				best = min(best, b.WeightedCost)
			}
			r.Targets = append(r.Targets, bench.Target{
				Name: size + ", " + p.name + ": weighted cost", Bound: "below each baseline",
				Actual: percent(d.Policy.WeightedCost / best), Met: d.Better,
			})
		}
	}
	r.Tables, r.Details = []bench.Table{table}, details
	return r, nil
}

// groupDays is the length of the trace. A trace of the planned size has faults
// every few minutes, so it needs fewer days.
func groupDays(o bench.Options, size string) int {
	if size == grouppolicy.Planned {
		return bench.Pick(o, 1, 7)
	}
	return bench.Pick(o, 7, 60)
}

func routing(_ context.Context, o bench.Options) (*bench.Result, error) {
	in := routingload.DefaultOptions()
	in.Seed = uint64(o.Seed)
	in.Progress = func(part string) { o.Report("%s", part) }
	if o.Short {
		in.Warmup, in.Duration = 10*time.Second, 20*time.Second
	}
	d := routingload.Run(in)
	policies := bench.Table{Title: "policies", Columns: []string{"policy", "requests", "hit rate", "first token p50 ms", "p95 ms", "p99 ms", "max/mean load", "max/mean arrivals"}}
	router, others := d.Policies[0], routingload.PolicyResult{}
	others.FirstToken.P95 = router.FirstToken.P95 * 1e9
	for _, p := range d.Policies {
		policies.Row(p.Policy, p.Requests, p.HitRate, p.FirstToken.P50, p.FirstToken.P95, p.FirstToken.P99, p.Balance.Mean, p.Herd.Mean)
		if p.Policy != routingload.PolicyRouter {
			others.HitRate = max(others.HitRate, p.HitRate)
			others.FirstToken.P95 = min(others.FirstToken.P95, p.FirstToken.P95)
		}
	}
	crashes := bench.Table{Title: "crash-causing requests", Columns: []string{"quarantine", "delay ms", "culprits", "resends", "upstreams lost", "most to one", "bound", "innocent refused"}}
	for _, c := range d.Crashes {
		crashes.Row(c.Quarantine, c.DelayMillis, c.Culprits, c.Resends, c.UpstreamsLost, c.MostLost, c.Bound, c.InnocentRefused)
	}
	outages := bench.Table{Title: "outages", Columns: []string{"budget", "failing", "first attempts", "retries", "added", "bound with burst", "succeeded"}}
	r := &bench.Result{Details: d}
	r.AtLeast("prefix hit rate of the router over the best baseline", router.HitRate/others.HitRate, 1, "")
	r.AtMost("p95 of the time to first token over the best baseline", router.FirstToken.P95/others.FirstToken.P95, 1, "")
	for _, c := range d.Crashes {
		if c.Quarantine {
			r.AtMost(fmt.Sprintf("upstreams lost to one request, messages up to %d ms late", c.DelayMillis), float64(c.MostLost), float64(c.Bound), "")
		}
	}
	for _, out := range d.Outages {
		outages.Row(out.Budget, out.Failing, out.FirstAttempts, out.Retries, out.Added, out.Bound, out.Succeeded)
		if out.Budget {
			r.AtMost("load added by retries, share failing "+percent(out.Failing), out.Added, maxRetryLoad, "")
		}
	}
	r.Tables = []bench.Table{policies, crashes, outages}
	return r, nil
}
