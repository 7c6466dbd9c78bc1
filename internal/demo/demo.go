// Package demo shows the main job of the system on one machine: seven daemons
// in three failure domains and small fake upstreams, in one process on
// loopback. Each step checks what it shows.
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
	// patience bounds each wait of a step.
	patience   = 20 * time.Second
	tokenDelay = 2 * time.Millisecond
	workTime   = 50 * time.Millisecond
)

var tree = fmt.Sprintf(`{
  "accounts": {
    "stable": {"class": "paying", "keyHashes": [%q]},
    "visitor": {"class": "free", "keyHashes": [%q]},
  },
  "services": {
    // Each copy of the model spans two instances.
    "rug-model": {"kind": "model", "model": %q, "groupSize": %d},
    "orders": {"kind": "plain", "routes": ["POST /orders"]},
  },
}`, cluster.KeyHash(payingKey), cluster.KeyHash(freeKey), model, groupSize)

// Result is what one step showed.
type Result struct {
	Step    string        `json:"step"`
	OK      bool          `json:"ok"`
	Detail  string        `json:"detail"`
	Elapsed time.Duration `json:"elapsedNanos"`
}

// demo is a running demonstration.
type demo struct {
	*cluster.Cluster
	ctx     context.Context
	paying  *cluster.Caller
	free    *cluster.Caller
	engines map[string]*fake.Engine
	orders  *fake.Plain
}

// Run carries out all steps and writes a line for each. It returns the results
// and an error when a check failed.
func Run(ctx context.Context, out io.Writer) ([]Result, error) {
	folder, err := os.MkdirTemp("", "bluebellfield-demo-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	c, err := cluster.Start(folder, cluster.Today(tree))
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
		{"paying and free callers get whole streamed answers through every entry", d.streamEverywhere},
		{"a settings change takes hold on every entry", d.changeSettings},
		{"an order sent through all entries at once runs once", d.orderOnce},
		{"a group that lost a member stops serving and is repaired", d.repairGroup},
		{"a cut-off failure domain goes on serving and refuses what it cannot prove", d.cutDomain},
		{"a planned stop under load interrupts no stream", d.plannedStop},
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
		mark := "ok  "
		if !r.OK {
			mark = "FAIL"
		}
		fmt.Fprintf(out, "%s %s\n     %s (%.1f s)\n", mark, r.Step, r.Detail, r.Elapsed.Seconds())
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

// groups counts the whole groups by what the engines have in force.
func (d *demo) groups() int {
	members := map[membership.GroupRef]int{}
	for _, e := range d.engines {
		ref := e.InForce()
		if ref.Group == "" || e.Dead() {
			continue
		}
		members[membership.GroupRef{Group: ref.Group, Epoch: ref.Epoch}]++
	}
	whole := 0
	for _, n := range members {
		if n == groupSize {
			whole++
		}
	}
	return whole
}

// stream asks for a whole answer until one comes, as callers do while a group
// forms. The number of refused tries is returned.
func (d *demo) stream(caller *cluster.Caller, entry, prompt string, tokens int) (refused int, err error) {
	err = cluster.WaitFor(patience, "an answer through "+entry, func() bool {
		a := caller.Stream(d.ctx, d.CallerURL(entry), model, prompt, tokens)
		if !a.Whole {
			refused++
			return false
		}
		if a.Content != fake.Answer(prompt, tokens) {
			err = fmt.Errorf("the answer through %s is not that of its request: %q", entry, a.Content)
		}
		return true
	})
	return refused, err
}
