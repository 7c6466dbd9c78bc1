// Package limitreport runs an upstreamlimit.Tracker on an entry and carries its
// messages, for both serving paths.
package limitreport

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/peer"
	"github.com/bluebellfield/bluebellfield/upstreamlimit"
	"github.com/bluebellfield/bluebellfield/upstreamlimit/upstreamlimitpb"
)

const (
	// Channel carries the messages on limits of upstreams between entries.
	Channel = "upstream-limits"
	// tickInterval is the time between two checks for messages that are due. An
	// entry that needs a share of a limit waits for one of them.
	tickInterval = 50 * time.Millisecond
	// entriesInterval is the time between two reads of the reachable entries.
	entriesInterval = 200 * time.Millisecond
)

// Network sends messages to other entries.
type Network interface {
	Send(to, channel string, payload []byte) bool
	Handle(channel string, h peer.Handler)
}

// Options configures a Reporter.
type Options struct {
	Self        string
	Incarnation uint64
	Network     Network
	// LiveEntries lists the other entries that are reachable. KnownEntries lists all
	// entries of the deployment; it is nil where they are not configured.
	LiveEntries, KnownEntries func() []string
	Logger                    *zap.Logger
}

// Reporter holds what upstreams have said in their answers about the requests that
// they want: limits, pauses and departures. It is safe for concurrent use.
type Reporter struct {
	opts Options
	// limited is the number of limits and notices that are known, so that requests
	// take no lock while there are none.
	limited atomic.Int32

	mu        sync.Mutex
	tracker   *upstreamlimit.Tracker
	notices   upstreamlimit.Notices
	live      []string
	entriesAt time.Time
}

// New returns a reporter and registers it with the network.
func New(o Options) *Reporter {
	r := &Reporter{opts: o, tracker: upstreamlimit.New(upstreamlimit.Config{Self: o.Self, Incarnation: o.Incarnation}, time.Now())}
	o.Network.Handle(Channel, r.receive)
	return r
}

// Observe records an answer of an upstream, with the rate that it names; named is
// false if it names none.
func (r *Reporter) Observe(target upstreamlimit.Target, rate float64, named bool) {
	if !named && !r.Any() {
		return
	}
	r.mu.Lock()
	changed := r.tracker.Observe(time.Now(), target, rate, named)
	r.count()
	r.mu.Unlock()
	switch {
	case changed && named:
		r.opts.Logger.Info("upstream names a limit", zap.String("upstream", target.Upstream), zap.Float64("requestsPerSecond", rate))
	case changed:
		r.opts.Logger.Info("upstream no longer names a limit", zap.String("upstream", target.Upstream))
	}
}

// Leave records that a process of an upstream has said that it is leaving, and
// reports whether that is new. The process gets no more requests.
func (r *Reporter) Leave(target upstreamlimit.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isNew := r.notices.Leave(time.Now(), target)
	r.count()
	return isNew
}

// Leaving reports whether a process has said that it is leaving.
func (r *Reporter) Leaving(target upstreamlimit.Target) bool {
	if !r.Any() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notices.Leaving(target)
}

// Pause records that a process wants no requests for a time, and reports whether
// the end of its pause has moved.
func (r *Reporter) Pause(target upstreamlimit.Target, pause time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	moved := r.notices.Pause(time.Now(), target, pause)
	r.count()
	return moved
}

// BlockedFor returns the time for which a process wants no requests at all, zero if
// it takes some.
func (r *Reporter) BlockedFor(target upstreamlimit.Target) time.Duration {
	if !r.Any() {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.blockedFor(time.Now(), target)
}

// Any reports whether an upstream has said anything about the requests it wants.
func (r *Reporter) Any() bool { return r.limited.Load() > 0 }

// Offer records that a request could be sent to the upstream, and returns the time
// until it may, zero if it may now.
func (r *Reporter) Offer(target upstreamlimit.Target) time.Duration {
	if !r.Any() {
		return 0
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if wait := r.blockedFor(now, target); wait > 0 {
		return wait
	}
	return r.tracker.Offer(now, target)
}

// Take reports whether a request may be sent to the upstream now and, if so, counts
// it.
func (r *Reporter) Take(target upstreamlimit.Target) bool {
	if !r.Any() {
		return true
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.blockedFor(now, target) == 0 && r.tracker.Take(now, target)
}

// blockedFor is BlockedFor for callers that hold mu.
func (r *Reporter) blockedFor(now time.Time, target upstreamlimit.Target) time.Duration {
	if r.notices.Leaving(target) {
		return upstreamlimit.MaxPause
	}
	return r.notices.PausedFor(now, target)
}

// Retain forgets the limits and notices of upstreams that are gone.
func (r *Reporter) Retain(present func(upstreamlimit.Target) bool) {
	if !r.Any() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.tracker.Retain(now, present)
	r.notices.Retain(now, present)
	r.count()
}

// Statuses lists the limits in force.
func (r *Reporter) Statuses() []upstreamlimit.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Statuses(time.Now())
}

// count updates limited. The caller holds mu.
func (r *Reporter) count() { r.limited.Store(int32(r.tracker.Count() + r.notices.Count())) }

func (r *Reporter) receive(_ context.Context, from string, payload []byte) ([]byte, error) {
	message, err := upstreamlimitpb.Decode(payload)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	out := r.tracker.Receive(time.Now(), from, message)
	r.count()
	r.mu.Unlock()
	r.send(out)
	return nil, nil
}

func (r *Reporter) send(envelopes []upstreamlimit.Envelope) {
	for _, e := range envelopes {
		payload, err := upstreamlimitpb.Encode(e.Message)
		if err != nil {
			r.opts.Logger.Error("failed to encode message on upstream limits", zap.Error(err))
			continue
		}
		r.opts.Network.Send(e.To, Channel, payload)
	}
}

// Run sends the messages that are due until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.tick(now)
		}
	}
}

func (r *Reporter) tick(now time.Time) {
	var live, known []string
	readEntries := now.Sub(r.entriesAt) >= entriesInterval
	if readEntries {
		r.entriesAt = now
		live = r.opts.LiveEntries()
		if r.opts.KnownEntries != nil {
			known = r.opts.KnownEntries()
		}
	}
	r.mu.Lock()
	var out []upstreamlimit.Envelope
	if readEntries {
		slices.Sort(live)
		r.tracker.SetEntries(now, live, known)
		if snapshot := r.tracker.Snapshot(); len(snapshot.Named) > 0 {
			for _, id := range live {
				if !slices.Contains(r.live, id) {
					out = append(out, upstreamlimit.Envelope{To: id, Message: snapshot})
				}
			}
		}
		r.live = live
	}
	out = append(out, r.tracker.Tick(now)...)
	r.mu.Unlock()
	r.send(out)
}
