// Package grouppolicy drives the controller and the state machine of package
// group through fault traces and compares them with simple policies on the
// same traces.
package grouppolicy

import (
	"fmt"
	"math/rand"
	"time"

	"golang.org/x/sync/errgroup"
)

// maxParallel leaves cores to other work of the machine.
const maxParallel = 4

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
	policies := []struct {
		name string
		make func(domain int) planner
	}{{"expected cost", func(d int) planner { return newControlled(s, d, o.Profile) }}}
	for _, name := range []string{Immediate, WaitOnly, FixedSpares} {
		policies = append(policies, struct {
			name string
			make func(domain int) planner
		}{name, func(int) planner { return newBaseline(s, name) }})
	}
	parts := make([][]Outcome, len(policies))
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for n, p := range policies {
		parts[n] = make([]Outcome, len(s.fabrics))
		for d := range s.fabrics {
			group.Go(func() error {
				c := newCluster(s, d, p.make)
				c.run(faults, total)
				parts[n][d] = c.result
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return Result{}, err
	}
	for n, p := range policies {
		sum := Outcome{Policy: p.name}
		for _, part := range parts[n] {
			sum.DowntimeGroupSeconds += part.DowntimeGroupSeconds
			sum.StrandedAcceleratorSeconds += part.StrandedAcceleratorSeconds
		}
		sum.WeightedCost = o.Profile.Downtime*sum.DowntimeGroupSeconds + o.Profile.Stranded*sum.StrandedAcceleratorSeconds
		if n == 0 {
			r.Policy = sum
		} else {
			r.Baselines = append(r.Baselines, sum)
		}
	}
	for _, b := range r.Baselines {
		r.Better = r.Better && r.Policy.WeightedCost < b.WeightedCost
	}
	return r, nil
}
