// Package crashreport runs a quarantine.Tracker: it carries the tracker's
// messages between the entries of a deployment.
package crashreport

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/peer"
	"github.com/bluebellfield/bluebellfield/quarantine"
	"github.com/bluebellfield/bluebellfield/quarantine/quarantinepb"
)

const (
	// Channel carries quarantine messages between entries.
	Channel = "quarantine"
	// BusyInterval is the time between two ticks of the tracker while it has
	// messages due soon. Suspects wait for a few of them.
	BusyInterval = 25 * time.Millisecond
	// idleInterval is the time between two ticks otherwise.
	idleInterval = time.Second
)

// Network is the part of the peer network that a Reporter uses.
type Network interface {
	Send(to, channel string, payload []byte) bool
	Handle(channel string, h peer.Handler)
}

// Options configures a Reporter.
type Options struct {
	// Tracker configures the tracker. The reporter sets OnVerdict.
	Tracker quarantine.Config
	Network Network
	// LiveEntries lists the other entries that are reachable.
	LiveEntries func() []string
	Logger      *zap.Logger
}

// Reporter shares what this entry knows of crashes with the other entries.
type Reporter struct {
	opts    Options
	tracker *quarantine.Tracker
	wake    chan struct{}
	// known lists the entries that were reachable at the last tick.
	known []string
}

// New returns a reporter that answers the messages of other entries. Run must be
// called as well.
func New(o Options) *Reporter {
	o.Tracker.OnVerdict = func(v quarantine.Verdict) {
		o.Logger.Info("request quarantined", zap.Stringer("digest", v.Digest), zap.String("kind", v.Digest.Kind()), zap.Time("until", v.Until))
	}
	r := &Reporter{opts: o, tracker: quarantine.New(o.Tracker), wake: make(chan struct{}, 1)}
	o.Network.Handle(Channel, r.receive)
	return r
}

// Tracker returns the tracker.
func (r *Reporter) Tracker() *quarantine.Tracker { return r.tracker }

// Crashed reports the crash of an upstream. It must be called before a request
// that was in flight there is sent again.
func (r *Reporter) Crashed(t quarantine.Target) {
	messages := r.tracker.Crashed(time.Now(), t)
	if len(messages) == 0 {
		return
	}
	r.opts.Logger.Info("upstream crashed", zap.String("upstream", t.Upstream), zap.Uint64("incarnation", t.Incarnation),
		zap.Int("inFlight", len(messages[0].Evidence[0].Requests)))
	r.sendAll(messages)
}

// Finish records the end of a run.
func (r *Reporter) Finish(run uint64, result quarantine.RunResult) {
	r.sendAll(r.tracker.Finish(time.Now(), run, result))
}

// Progressed records that a run has come past the start of its answer.
func (r *Reporter) Progressed(run uint64) {
	r.sendAll(r.tracker.Progressed(time.Now(), run))
}

func (r *Reporter) receive(_ context.Context, _ string, payload []byte) ([]byte, error) {
	message, err := quarantinepb.Decode(payload)
	if err != nil {
		return nil, err
	}
	r.sendAll(r.tracker.Merge(time.Now(), message))
	r.wakeUp()
	return nil, nil
}

// sendAll sends messages to all reachable entries.
func (r *Reporter) sendAll(messages []quarantine.Message) {
	if len(messages) > 0 {
		r.send(r.opts.LiveEntries(), messages)
	}
}

func (r *Reporter) send(to []string, messages []quarantine.Message) {
	for _, m := range messages {
		payload, err := quarantinepb.Encode(m)
		if err != nil {
			r.opts.Logger.Error("failed to encode quarantine message", zap.Error(err))
			continue
		}
		for _, id := range to {
			r.opts.Network.Send(id, Channel, payload)
		}
	}
	if len(messages) > 0 {
		r.wakeUp()
	}
}

// EntriesChanged causes an entry that has become reachable to get what is known
// without delay.
func (r *Reporter) EntriesChanged() { r.wakeUp() }

// wakeUp ends the pause between two ticks, because messages may be due soon.
func (r *Reporter) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run ticks the tracker until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.tick(time.Now())
		pause, wake := idleInterval, r.wake
		if r.tracker.Busy() {
			pause, wake = BusyInterval, nil
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tick sends the messages that are due. An entry that has become reachable, or
// has started again, gets everything that is known.
func (r *Reporter) tick(now time.Time) {
	live := r.opts.LiveEntries()
	r.tracker.SetEntries(now, live)
	r.send(live, r.tracker.Tick(now))
	added := slices.DeleteFunc(slices.Clone(live), func(id string) bool { return slices.Contains(r.known, id) })
	r.known = slices.Clone(live)
	if len(added) == 0 {
		return
	}
	if snapshot := r.tracker.Snapshot(now); len(snapshot.Evidence)+len(snapshot.Verdicts) > 0 {
		r.send(added, []quarantine.Message{snapshot})
	}
}
