package callerconn

import (
	"context"
	"errors"
	"sync/atomic"
)

// ErrStopping is the cause with which the requests that outlast a planned stop are
// cancelled.
var ErrStopping = errors.New("the instance is stopping")

// Stop is the planned stop of an instance as its requests see it. First new
// requests are refused. Before the process ends, the running ones are cancelled, so
// that their callers get an answer in place of a closed connection. The zero value
// is not usable; create one with NewStop.
type Stop struct {
	refusing atomic.Bool
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

// NewStop returns the state of an instance that does not stop.
func NewStop() *Stop {
	s := &Stop{}
	s.ctx, s.cancel = context.WithCancelCause(context.Background())
	return s
}

// RefuseNew makes Refusing report true.
func (s *Stop) RefuseNew() { s.refusing.Store(true) }

// Refusing reports whether new requests are to be refused.
func (s *Stop) Refusing() bool { return s.refusing.Load() }

// CancelRequests cancels all requests that use a context of Bind.
func (s *Stop) CancelRequests() { s.cancel(ErrStopping) }

// Bind returns a context that ends with ctx or with CancelRequests.
func (s *Stop) Bind(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	unbind := context.AfterFunc(s.ctx, func() { cancel(context.Cause(s.ctx)) })
	return ctx, func() {
		unbind()
		cancel(nil)
	}
}
