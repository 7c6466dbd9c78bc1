// Package grouppolicy drives the controller and the state machine of package
// group through fault traces and compares them with simple policies on the
// same traces.
package grouppolicy

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

// Weights are the costs of a group-second without service and of an
// accelerator-second out of use.
type Weights struct {
	Downtime float64 `json:"downtimePerGroupSecond"`
	Stranded float64 `json:"strandedPerAcceleratorSecond"`
}

// Weights of the two users: Cascade cares more for downtime, Pièce Perdue, with
// its small shared pool, more for stranded accelerators.
var (
	Cascade     = Weights{Downtime: 5, Stranded: 1}
	PiecePerdue = Weights{Downtime: 1, Stranded: 3}
)

// Options select a run.
type Options struct {
	Seed int64
	// Size is Today or Planned.
	Size string
	Days int
	// Profile holds the weights of the weighted sum.
	Profile Weights
}

// Outcome is what one policy made of the trace.
type Outcome struct {
	Policy string `json:"policy"`
	// DowntimeGroupSeconds counts demanded groups that did not serve.
	DowntimeGroupSeconds float64 `json:"downtimeGroupSeconds"`
	// StrandedAcceleratorSeconds counts accelerators of running instances that
	// were in no serving group, spares included.
	StrandedAcceleratorSeconds float64 `json:"strandedAcceleratorSeconds"`
	WeightedCost               float64 `json:"weightedCost"`
}

// Result is the result of a run.
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
	// Better says that the policy's weighted cost is below that of each baseline.
	Better bool `json:"better"`
}

// Run plays one trace under the policy and under each baseline. Equal options
// give equal results.
func Run(o Options) (Result, error) {
	if o.Size != Today && o.Size != Planned {
		return Result{}, fmt.Errorf("size %q is unknown, accepted: %s, %s", o.Size, Today, Planned)
	}
	if o.Days < 1 {
		return Result{}, fmt.Errorf("days is %d, accepted: 1 or more", o.Days)
	}
	s := shapeOf(o.Size)
	faults := trace(rand.New(rand.NewSource(o.Seed)), s, o.Days)
	total := time.Duration(o.Days) * 24 * time.Hour
	r := Result{Seed: o.Seed, Size: o.Size, Days: o.Days, Profile: o.Profile, Instances: s.instances(), Faults: len(faults), Better: true}
	for d := range s.fabrics {
		r.Groups += s.groups(d)
	}
	play := func(name string, make func(int) planner) Outcome {
		c := newCluster(s, make)
		c.run(faults, total)
		c.result.Policy = name
		c.result.WeightedCost = o.Profile.Downtime*c.result.DowntimeGroupSeconds + o.Profile.Stranded*c.result.StrandedAcceleratorSeconds
		return c.result
	}
	names := []string{Immediate, WaitOnly, FixedSpares}
	r.Baselines = make([]Outcome, len(names))
	var wait sync.WaitGroup
	wait.Go(func() {
		r.Policy = play("expected cost", func(d int) planner { return newControlled(s, d, o.Profile) })
	})
	for n, name := range names {
		wait.Go(func() { r.Baselines[n] = play(name, func(int) planner { return newBaseline(s, name) }) })
	}
	wait.Wait()
	for _, b := range r.Baselines {
		r.Better = r.Better && r.Policy.WeightedCost < b.WeightedCost
	}
	return r, nil
}
