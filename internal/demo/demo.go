// Package demo demonstrates the main functions of the system on one machine. It
// runs seven daemons in three failure domains and fake upstreams in one process
// on loopback. Each step checks the behavior that it demonstrates.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/cluster"
	"github.com/bluebellfield/bluebellfield/internal/fake"
	"github.com/bluebellfield/bluebellfield/membership"
)

const (
	payingKey = "paying-key"
	freeKey   = "free-key"
	model     = "rug-model"
	groupSize = 2
	// waitTimeout is the maximum time to wait for a condition in a step.
	waitTimeout = 20 * time.Second
	tokenDelay  = 2 * time.Millisecond
	serviceTime = 50 * time.Millisecond
)

var tree = fmt.Sprintf(`{
  "accounts": {
    "stable": {"class": "paying", "keyHashes": [%q]},
    "visitor": {"class": "free", "keyHashes": [%q]},
  },
  "services": {
    // Each replica of the model spans two instances.
    "rug-model": {"kind": "model", "model": %q, "groupSize": %d},
    "orders": {"kind": "plain", "routes": ["POST /orders"]},
  },
}`, cluster.KeyHash(payingKey), cluster.KeyHash(freeKey), model, groupSize)

// Result is the result of one step.
type Result struct {
	Step    string        `json:"step"`
	OK      bool          `json:"ok"`
	Detail  string        `json:"detail"`
	Elapsed time.Duration `json:"elapsedNanos"`
}

// demo holds the state of a running demonstration.
type demo struct {
	*cluster.Cluster
	ctx     context.Context
	paying  *cluster.Caller
	free    *cluster.Caller
	engines map[string]*fake.Engine
	orders  *fake.PlainService
}

// Run runs all steps and writes the result of each to out. It returns the
// results, and an error when a check failed.
func Run(ctx context.Context, out io.Writer) ([]Result, error) {
	folder, err := os.MkdirTemp("", "bluebellfield-demo-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	c, err := cluster.Start(folder, cluster.DefaultLayout(tree))
	if err != nil {
		return nil, err
	}
	d := &demo{
		Cluster: c, ctx: ctx, engines: map[string]*fake.Engine{},
		paying: &cluster.Caller{Key: payingKey}, free: &cluster.Caller{Key: freeKey},
	}
	results, err := d.runSteps(out)
	return results, errors.Join(err, c.Close())
}

func (d *demo) runSteps(out io.Writer) ([]Result, error) {
	steps := []struct {
		name string
		run  func() (string, error)
	}{
		{"seven daemons and eight engines form replica groups", d.formGroups},
		{"paying and free callers get complete streamed answers through every entry", d.streamThroughAllEntries},
		{"a settings change comes into force on every entry", d.changeSettings},
		{"an order sent through all entries concurrently runs once", d.executeOrderOnce},
		{"a group that lost a member stops serving and is repaired", d.repairGroup},
		{"a partitioned failure domain keeps serving and refuses orders that it cannot claim", d.isolateDomain},
		{"a graceful stop under load interrupts no stream", d.stopUnderLoad},
	}
	var results []Result
	var failed error
	for _, s := range steps {
		started := time.Now()
		detail, err := s.run()
		r := Result{Step: s.name, OK: err == nil, Detail: detail, Elapsed: time.Since(started)}
		if err != nil {
			r.Detail = err.Error()
			failed = errors.Join(failed, fmt.Errorf("%s: %w", s.name, err))
		}
		results = append(results, r)
		label := "ok  "
		if !r.OK {
			label = "FAIL"
		}
		fmt.Fprintf(out, "%s %s\n     %s (%.1f s)\n", label, r.Step, r.Detail, r.Elapsed.Seconds())
	}
	return results, failed
}

func (d *demo) addEngine(id, domain string) error {
	cfg := fake.EngineConfig{TokenDelay: tokenDelay}
	cfg.ID, cfg.FailureDomain, cfg.FabricDomain, cfg.Accelerators = id, domain, domain+"-fabric", 2
	cfg.Services, cfg.Models = []string{model}, []membership.Model{{Name: model}}
	cfg.Features.Fencing = true
	e, err := d.AddEngine(cfg)
	d.engines[id] = e
	return err
}

// completeGroups returns the number of groups that groupSize live engines have
// in force.
func (d *demo) completeGroups() int {
	members := map[membership.GroupRef]int{}
	for _, e := range d.engines {
		ref := e.InForce()
		if ref.Group == "" || e.Killed() {
			continue
		}
		members[membership.GroupRef{Group: ref.Group, Epoch: ref.Epoch}]++
	}
	complete := 0
	for _, n := range members {
		if n == groupSize {
			complete++
		}
	}
	return complete
}

// stream sends requests until it gets a complete response, as callers do while a
// group forms. It returns the number of attempts that were refused.
func (d *demo) stream(caller *cluster.Caller, entry, prompt string, tokens int) (refused int, err error) {
	err = cluster.WaitFor(waitTimeout, "a response through "+entry, func() bool {
		r := caller.Stream(d.ctx, d.CallerURL(entry), model, prompt, tokens)
		if !r.Complete {
			refused++
			return false
		}
		if r.Content != fake.Answer(prompt, tokens) {
			err = fmt.Errorf("the response through %s does not match its request: %q", entry, r.Content)
		}
		return true
	})
	return refused, err
}
