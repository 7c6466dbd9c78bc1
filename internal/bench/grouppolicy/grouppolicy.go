// Package grouppolicy simulates the controller and the state machine of package
// group under fault traces, and compares them with baseline policies on the same
// traces.
package grouppolicy

import (
	"fmt"
	"math/rand"
	"time"

	"golang.org/x/sync/errgroup"
)

// maxParallelRuns leaves cores free for other processes.
const maxParallelRuns = 4

// Weights holds the costs of a group-second of downtime and of a stranded
// accelerator-second.
type Weights struct {
	Downtime float64 `json:"downtimePerGroupSecond"`
	Stranded float64 `json:"strandedPerAcceleratorSecond"`
}

// Weights of the two users. Cascade weights downtime higher. Pièce Perdue has a
// small shared pool and weights stranded accelerators higher.
var (
	Cascade     = Weights{Downtime: 5, Stranded: 1}
	PiecePerdue = Weights{Downtime: 1, Stranded: 3}
)

// Options configures a run.
type Options struct {
	Seed int64
	// Size is Today or Planned.
	Size string
	Days int
	// Profile holds the weights for WeightedCost.
	Profile Weights
}

// Outcome holds the costs of one policy on the trace.
type Outcome struct {
	Policy string `json:"policy"`
	// DowntimeGroupSeconds sums the time of each demanded group that did not
	// serve.
	DowntimeGroupSeconds float64 `json:"downtimeGroupSeconds"`
	// StrandedAcceleratorSeconds sums the time of each accelerator of a running
	// instance outside a serving group, including spares.
	StrandedAcceleratorSeconds float64 `json:"strandedAcceleratorSeconds"`
	WeightedCost               float64 `json:"weightedCost"`
}

// Result compares the policy of package group with the baselines.
type Result struct {
	Seed      int64     `json:"seed"`
	Size      string    `json:"size"`
	Days      int       `json:"days"`
	Profile   Weights   `json:"profile"`
	Instances int       `json:"instances"`
	Groups    int       `json:"groups"`
	Faults    int       `json:"faults"`
	Policy    Outcome   `json:"policy"`
	Baselines []Outcome `json:"baselines"`
	// Better is set if the weighted cost of Policy is below that of every
	// baseline.
	Better bool `json:"better"`
}

// Run simulates one trace under the policy and under each baseline. The result
// is deterministic for the options.
func Run(o Options) (Result, error) {
	if o.Size != Today && o.Size != Planned {
		return Result{}, fmt.Errorf("unknown size %q, must be %s or %s", o.Size, Today, Planned)
	}
	if o.Days < 1 {
		return Result{}, fmt.Errorf("days is %d, must be at least 1", o.Days)
	}
	t := topologyOf(o.Size)
	faults := generateTrace(rand.New(rand.NewSource(o.Seed)), t, o.Days)
	traceDuration := time.Duration(o.Days) * 24 * time.Hour
	r := Result{Seed: o.Seed, Size: o.Size, Days: o.Days, Profile: o.Profile, Instances: t.instanceCount(), Faults: len(faults), Better: true}
	for d := range t.fabrics {
		r.Groups += t.maxGroups(d)
	}
	policies := []struct {
		name string
		make func(domain int) planner
	}{{"expected cost", func(d int) planner { return newControllerPlanner(t, d, o.Profile) }}}
	for _, name := range []string{Immediate, WaitOnly, FixedSpares} {
		policies = append(policies, struct {
			name string
			make func(domain int) planner
		}{name, func(int) planner { return newBaselinePlanner(t, name) }})
	}
	outcomes := make([][]Outcome, len(policies))
	var group errgroup.Group
	group.SetLimit(maxParallelRuns)
	for n, p := range policies {
		outcomes[n] = make([]Outcome, len(t.fabrics))
		for d := range t.fabrics {
			group.Go(func() error {
				c := newCluster(t, d, p.make)
				c.run(faults, traceDuration)
				outcomes[n][d] = c.outcome
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return Result{}, err
	}
	for n, p := range policies {
		total := Outcome{Policy: p.name}
		for _, outcome := range outcomes[n] {
			total.DowntimeGroupSeconds += outcome.DowntimeGroupSeconds
			total.StrandedAcceleratorSeconds += outcome.StrandedAcceleratorSeconds
		}
		total.WeightedCost = o.Profile.Downtime*total.DowntimeGroupSeconds + o.Profile.Stranded*total.StrandedAcceleratorSeconds
		if n == 0 {
			r.Policy = total
		} else {
			r.Baselines = append(r.Baselines, total)
		}
	}
	for _, b := range r.Baselines {
		r.Better = r.Better && r.Policy.WeightedCost < b.WeightedCost
	}
	return r, nil
}
