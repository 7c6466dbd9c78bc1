package replica

import (
	"context"
	"errors"
	"time"

	"github.com/bluebellfield/bluebellfield/consensus"
	"github.com/bluebellfield/bluebellfield/internal/fault"
)

// barrier waits for a read index and then for the state machine to reach it.
type barrier struct {
	index uint64
	err   error
	done  chan struct{}
}

func (b *barrier) finish(err error) {
	b.err = err
	close(b.done)
}

var errReadAgain = errors.New("the read must be started again")

// Barrier returns when the local state includes every command that was applied
// anywhere before the call. It tries again until the context ends.
func (r *Replica) Barrier(ctx context.Context) error {
	at := fault.At{Step: "read of log " + r.o.Log}
	for {
		changed := r.Watch()
		err := r.readOnce(ctx)
		if err == nil {
			return nil
		}
		if errors.Is(err, ErrClosed) {
			return fault.Wrap(err, fault.Unavailable, at, fault.NotRun)
		}
		waitRetry(ctx, changed)
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
			b.finish(errReadAgain)
		case b.index <= r.applied.Load():
			b.finish(nil)
		default:
			r.waiting = append(r.waiting, b)
		}
	}
}

// LeaseHeld reports whether this replica leads and no other replica can lead
// now, which an order that must carry the newest epoch requires.
func (r *Replica) LeaseHeld(ctx context.Context) (bool, error) {
	held := make(chan bool, 1)
	if !r.submit(func(_ time.Time, closing bool) {
		held <- !closing && r.node.LeaseValid(time.Now())
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
