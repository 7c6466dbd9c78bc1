package replica

import (
	"context"
	"errors"
	"time"

	"github.com/bluebellfield/bluebellfield/consensus"
	"github.com/bluebellfield/bluebellfield/internal/fault"
)

// barrier is a read that waits for a read index and then until the state
// machine has reached it.
type barrier struct {
	index uint64
	err   error
	done  chan struct{}
}

func (b *barrier) finish(err error) {
	b.err = err
	close(b.done)
}

var errReadFailed = errors.New("the leader did not confirm the read")

// Barrier returns when the local state includes every command that was applied
// on any replica before the call. It retries until the context is done.
func (r *Replica) Barrier(ctx context.Context) error {
	at := fault.Location{Step: "read of log " + r.opts.Log}
	for {
		changed := r.Watch()
		err := r.readOnce(ctx)
		if err == nil {
			return nil
		}
		if errors.Is(err, ErrClosed) {
			return fault.Wrap(err, fault.Unavailable, at, fault.NotRun)
		}
		waitForRetry(ctx, changed)
		if ctx.Err() != nil {
			return fault.Wrap(errors.Join(ctx.Err(), err), fault.Unavailable, at, fault.NotRun)
		}
	}
}

func (r *Replica) readOnce(ctx context.Context) error {
	b := &barrier{done: make(chan struct{})}
	queued := r.submit(func(now time.Time, closing bool) {
		if closing {
			b.finish(ErrClosed)
			return
		}
		id, err := r.node.ReadIndex(now)
		if err != nil {
			b.finish(err)
			return
		}
		r.reads[id] = b
	})
	if !queued {
		return ErrClosed
	}
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Replica) completeReads(results []consensus.ReadResult) {
	for _, result := range results {
		b := r.reads[result.ID]
		if b == nil {
			continue
		}
		delete(r.reads, result.ID)
		b.index = result.Index
		switch {
		case !result.OK:
			b.finish(errReadFailed)
		case b.index <= r.applied.Load():
			b.finish(nil)
		default:
			r.waitingBarriers = append(r.waitingBarriers, b)
		}
	}
}

// LeaseHeld reports whether this replica is the leader and no other replica can
// be leader now. Callers check it before they issue an order that must carry the
// latest epoch.
func (r *Replica) LeaseHeld(ctx context.Context) (bool, error) {
	held := make(chan bool, 1)
	if !r.submit(func(_ time.Time, closing bool) {
		held <- !closing && r.node.LeaseValid(r.opts.Clock())
	}) {
		return false, ErrClosed
	}
	select {
	case ok := <-held:
		return ok, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}
