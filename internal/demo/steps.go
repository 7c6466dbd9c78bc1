package demo

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/cluster"
	"github.com/bluebellfield/bluebellfield/internal/fake"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/settings"
)

func (d *demo) formGroups() (string, error) {
	if err := d.WaitReady(waitTimeout); err != nil {
		return "", err
	}
	for id, domain := range map[string]string{
		"engine-a1": "a", "engine-a2": "a", "engine-a3": "a", "engine-a4": "a", "engine-a5": "a",
		"engine-c1": "c", "engine-c2": "c", "engine-c3": "c",
	} {
		if err := d.addEngine(id, domain); err != nil {
			return "", err
		}
	}
	cfg := fake.PlainServiceConfig{WorkTime: serviceTime}
	cfg.ID, cfg.FailureDomain, cfg.Services = "orders-c", "c", []string{"orders"}
	var err error
	if d.orders, err = d.AddPlainService(cfg); err != nil {
		return "", err
	}
	err = cluster.WaitFor(waitTimeout, "three groups", func() bool { return d.completeGroups() == 3 })
	return "3 groups of 2 engines, 2 spares", err
}

func (d *demo) streamThroughAllEntries() (string, error) {
	const tokens = 20
	var all sync.WaitGroup
	errs := make([]error, 2*len(d.IDs()))
	for i, id := range d.IDs() {
		all.Go(func() { _, errs[2*i] = d.stream(d.paying, id, "paying-"+id, tokens) })
		all.Go(func() { _, errs[2*i+1] = d.stream(d.free, id, "free-"+id, tokens) })
	}
	all.Wait()
	return fmt.Sprintf("%d complete answers of %d tokens, each matching its request", len(errs), tokens), errors.Join(errs...)
}

// changeSettings replaces the key of the free account and waits until every
// entry refuses the old one.
func (d *demo) changeSettings() (string, error) {
	const newKey = "new-free-key"
	change := settings.Change{ID: "demo-change", Base: d.Daemon("c2").Revision(), Ops: []settings.Op{{
		Op: settings.OpSet, Path: "/accounts/visitor", Key: settings.KeyKeyHashes, Value: settings.List(cluster.KeyHash(newKey)),
	}}}
	started := time.Now()
	result, err := d.Propose(d.ctx, "c2", change)
	if err != nil || result.Outcome() != settings.Applied {
		return "", fmt.Errorf("the change was not applied: %s %w", result.Code, err)
	}
	resent, err := d.Propose(d.ctx, "a1", change)
	if err != nil || resent.Code != settings.Duplicate || resent.Revision != result.Revision {
		return "", fmt.Errorf("the resent change got a different result: %+v %w", resent, err)
	}
	for _, id := range d.IDs() {
		err := cluster.WaitFor(waitTimeout, "the change on "+id, func() bool {
			r := d.free.Stream(d.ctx, d.CallerURL(id), model, "old key", 1)
			return r.Status == http.StatusUnauthorized && r.Outcome == fault.NotRun
		})
		if err != nil {
			return "", err
		}
	}
	elapsed := time.Since(started)
	d.free.Key = newKey
	_, err = d.stream(d.free, "b2", "new key", 5)
	return fmt.Sprintf("revision %d in force on %d entries after %d ms; a resend got the original result",
		result.Revision, len(d.IDs()), elapsed.Milliseconds()), err
}

func (d *demo) executeOrderOnce() (string, error) {
	return d.sendOrder("order-1", d.IDs())
}

// sendOrder sends one order through several entries concurrently and checks that
// it ran once and that all sends got the same response.
func (d *demo) sendOrder(key string, entries []string) (string, error) {
	before := len(d.orders.Runs())
	responses := make([]cluster.Response, len(entries))
	var all sync.WaitGroup
	for i, id := range entries {
		all.Go(func() {
			responses[i] = d.paying.Call(d.ctx, http.MethodPost, d.CallerURL(id)+"/orders", key, "one sky piece")
		})
	}
	all.Wait()
	replayed := 0
	for i, r := range responses {
		if r.Status != http.StatusOK || r.Body != responses[0].Body {
			return "", fmt.Errorf("entry %s answered %d %s %v", entries[i], r.Status, r.Body, r.Err)
		}
		if r.Replayed {
			replayed++
		}
	}
	if runs := len(d.orders.Runs()) - before; runs != 1 {
		return "", fmt.Errorf("the order ran %d times", runs)
	}
	return fmt.Sprintf("%d sends, 1 run, %d got the stored answer", len(responses), replayed), nil
}

// repairGroup kills a member of a group in failure domain a.
func (d *demo) repairGroup() (string, error) {
	var killed *fake.Engine
	for _, e := range d.engines {
		a := e.Announcement()
		if a.FailureDomain == "a" && e.InForce().Group != "" {
			killed = e
			break
		}
	}
	if killed == nil {
		return "", errors.New("no group has formed in failure domain a")
	}
	started := time.Now()
	killed.Kill()
	refused, err := d.stream(d.paying, "a1", "while repairing", 10)
	if err != nil {
		return "", err
	}
	err = cluster.WaitFor(waitTimeout, "the repair", func() bool { return d.completeGroups() == 3 })
	return fmt.Sprintf("%s killed, 3 complete groups again after %.1f s; a request during the repair was answered after %d refusals",
		killed.Announcement().ID, time.Since(started).Seconds(), refused), err
}

func (d *demo) isolateDomain() (string, error) {
	d.PartitionDomain("c")
	inside, err := d.stream(d.paying, "c1", "inside", 10)
	if err != nil {
		return "", err
	}
	outside, err := d.stream(d.paying, "a1", "outside", 10)
	if err != nil {
		return "", err
	}
	refused := d.paying.Call(d.ctx, http.MethodPost, d.CallerURL("c2")+"/orders", "order-2", "one sky piece")
	if refused.Outcome != fault.NotRun {
		return "", fmt.Errorf("an order in the partitioned domain ended with status %d, outcome %q", refused.Status, refused.Outcome)
	}
	d.PartitionDomain("")
	started := time.Now()
	entries := []string{"c2", "a2", "b1"}
	for _, id := range entries {
		// Each entry discovers the upstreams in the partitioned domain on its
		// own.
		err = cluster.WaitFor(waitTimeout, "an order after the partition through "+id, func() bool {
			return d.paying.Call(d.ctx, http.MethodPost, d.CallerURL(id)+"/orders", "order-3-"+id, "one sky piece").Status == http.StatusOK
		})
		if err != nil {
			return "", err
		}
	}
	healed := time.Since(started)
	detail, err := d.sendOrder("order-2", entries)
	return fmt.Sprintf("both sides served (%d and %d refusals), the order was refused as not run; healed in %.1f s; then %s",
		inside, outside, healed.Seconds(), detail), err
}

func (d *demo) stopUnderLoad() (string, error) {
	const streams, tokens = 12, 300
	responses := make([]cluster.Response, streams)
	var all sync.WaitGroup
	for i := range responses {
		all.Go(func() {
			responses[i] = d.paying.Stream(d.ctx, d.CallerURL("b1"), model, fmt.Sprint("stop-", i), tokens)
		})
	}
	if err := cluster.WaitFor(waitTimeout, "the streams", func() bool { return d.Daemon("b1").InFlight() == streams }); err != nil {
		return "", err
	}
	if err := d.ShutdownDaemon(d.ctx, "b1"); err != nil {
		return "", err
	}
	all.Wait()
	for i, r := range responses {
		if !r.Complete || r.Content != fake.Answer(fmt.Sprint("stop-", i), tokens) {
			return "", fmt.Errorf("stream %d was interrupted: %w", i, r.Err)
		}
	}
	_, err := d.stream(d.paying, "b2", "after the stop", 5)
	return fmt.Sprintf("%d streams of %d tokens completed, the daemon stopped, another entry of its domain serves", streams, tokens), err
}
