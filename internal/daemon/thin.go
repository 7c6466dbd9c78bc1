package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/edge/caller"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/membership"
)

// directory is the single-daemon state of the first path: the announced
// upstreams and one account.
type directory struct {
	self      membership.Registrar
	mu        sync.Mutex
	upstreams map[string]membership.Announcement
}

func (d *directory) lease() membership.Lease {
	return membership.Lease{Registrars: []membership.Registrar{d.self}, HeartbeatMillis: 1000, LeaseMillis: 3000}
}

func (d *directory) Announce(a membership.Announcement) (membership.Lease, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upstreams[a.ID] = a
	return d.lease(), nil
}

func (d *directory) Heartbeat(membership.Heartbeat) (membership.Lease, error) { return d.lease(), nil }

func (d *directory) CacheEvents(upstream.CacheEvents) error { return nil }

func (d *directory) Account(key string) (caller.Account, error) {
	if key != "dev" {
		return caller.Account{}, fault.New(fault.Unauthorized, fault.At{Step: "authenticate"}, fault.NotRun, "the bearer key is unknown")
	}
	return caller.Account{ID: "dev", Class: caller.Paying}, nil
}

func (d *directory) Route(_ caller.Account, _, path, model string) (caller.Route, error) {
	return caller.Route{Service: model, Kind: membership.ModelEngine, Idempotent: true, Timeout: time.Minute,
		FirstByteTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second, MaxBodyBytes: 1 << 20, MaxResponseBytes: 1 << 24, MaxHeaderBytes: 1 << 15}, nil
}

func (d *directory) MaxBodyBytes() int64 { return 1 << 20 }

type slot struct{}

func (slot) Preempted() <-chan struct{} { return nil }
func (slot) Release(caller.Usage)       {}

func (d *directory) Admit(context.Context, *caller.Work) (caller.Slot, error) { return slot{}, nil }

type choice struct{ a membership.Announcement }

func (c choice) Target() upstream.Target {
	return upstream.Target{ID: c.a.ID, Address: c.a.Address}
}
func (c choice) HonoursPriority() bool { return c.a.Features.Priorities }
func (c choice) CanResume() bool       { return c.a.Features.Resume }
func (c choice) FirstByte()            {}
func (c choice) Finish(caller.Result)  {}

func (d *directory) Pick(w *caller.Work, _ int, _ []string) (caller.Choice, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.upstreams {
		if a.State == membership.Ready {
			return choice{a}, nil
		}
	}
	return nil, fault.New(fault.NoUpstream, fault.At{Step: "pick"}, fault.NotRun, "no upstream has announced itself")
}

func (d *directory) First(*caller.Work) {}
func (d *directory) Next(_ *caller.Work, attempt int, _ fault.Outcome) (time.Duration, bool) {
	return 10 * time.Millisecond, attempt < 2
}
func (d *directory) Check(*caller.Work) error { return nil }
