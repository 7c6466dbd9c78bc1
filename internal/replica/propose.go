package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/bluebellfield/bluebellfield/consensus"
	"github.com/bluebellfield/bluebellfield/internal/fault"
)

// proposal is a command that waits until its entry is applied.
type proposal struct {
	// claimed is set either by the replica's goroutine before it appends the
	// command, or by a caller that gives up before that. The other one then does
	// nothing.
	claimed atomic.Bool
	term    uint64
	result  []byte
	err     error
	done    chan struct{}
}

func (p *proposal) finish(result []byte, err error) {
	p.result, p.err = result, err
	close(p.done)
}

// Propose replicates a command and returns the state machine's result. It
// forwards the command if another instance is the leader. An error wraps either
// ErrNotProposed or ErrUnknownResult. The caller must not modify command
// afterwards.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return r.onLeader(ctx, forwardCommand, command, func(ctx context.Context) ([]byte, error) {
		return r.proposeLocally(ctx, func(now time.Time) (uint64, uint64, error) {
			return r.node.Propose(now, command)
		})
	})
}

// proposeLocally appends an entry on this replica if it is the leader, and
// waits until the entry is applied. It returns the errors of Propose; they wrap
// a NotLeaderError if this replica is not the leader.
func (r *Replica) proposeLocally(ctx context.Context, appendEntry func(time.Time) (index, term uint64, err error)) ([]byte, error) {
	p := &proposal{done: make(chan struct{})}
	queued := r.submit(func(now time.Time, closing bool) {
		if p.claimed.Swap(true) {
			return
		}
		if closing {
			p.finish(nil, notProposed(ErrClosed))
			return
		}
		index, term, err := appendEntry(now)
		if err != nil {
			p.finish(nil, notProposed(err))
			return
		}
		p.term = term
		r.pending[index] = append(r.pending[index], p)
	})
	if !queued {
		return nil, notProposed(errors.New("the replica is closed or overloaded"))
	}
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		if !p.claimed.Swap(true) {
			return nil, notProposed(ctx.Err())
		}
		return nil, fmt.Errorf("%w: %w", ErrUnknownResult, ctx.Err())
	}
}

func notProposed(cause error) error { return fmt.Errorf("%w: %w", ErrNotProposed, cause) }

// The first byte of a forwarded request is its kind, the first byte of the
// response its outcome.
const (
	forwardCommand byte = iota + 1
	forwardChange
	forwardTransfer
)

const (
	responseApplied byte = iota + 1
	responseNotProposed
	responseRejected
	responseUnknown
)

// retryInterval is the longest wait between two attempts to reach the leader. A
// change of the leader ends the wait early.
const retryInterval = 20 * time.Millisecond

// onLeader runs a request locally or on the leader. It retries only while the
// request provably did not take effect.
func (r *Replica) onLeader(ctx context.Context, kind byte, body []byte, local func(context.Context) ([]byte, error)) ([]byte, error) {
	deadline := time.Now().Add(r.opts.LeaderWait)
	var leader string
	for {
		changed := r.Watch()
		result, err := local(ctx)
		var notLeader *consensus.NotLeaderError
		leader = ""
		if errors.As(err, &notLeader) {
			leader = notLeader.Leader.Instance
		}
		if leader != "" && leader != r.opts.ID && r.opts.Forward != nil {
			result, err = r.forward(ctx, leader, append([]byte{kind}, body...))
		}
		if err == nil || !r.retryable(err) || time.Now().After(deadline) {
			return result, r.withLocation(err, leader)
		}
		waitForRetry(ctx, changed)
		if ctx.Err() != nil {
			return nil, r.withLocation(notProposed(ctx.Err()), leader)
		}
	}
}

// waitForRetry waits for a change, but at most for retryInterval.
func waitForRetry(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// errRejected marks a response that a retry would not change.
var errRejected = errors.New("the leader rejected the request")

func (r *Replica) retryable(err error) bool {
	if !errors.Is(err, ErrNotProposed) || errors.Is(err, errRejected) {
		return false
	}
	var notLeader *consensus.NotLeaderError
	if errors.As(err, &notLeader) {
		return true
	}
	transient := []error{errNotServed, errSuperseded, consensus.ErrTransferring, consensus.ErrNotReady, consensus.ErrChangePending}
	return slices.ContainsFunc(transient, func(cause error) bool { return errors.Is(err, cause) })
}

// errSuperseded fails a command whose leader was deposed before the command was
// committed, once no later leader can commit it.
var errSuperseded = errors.New("another leader replaced the entry")

// errNotServed marks a request that the other instance provably did not serve
// and that can be retried.
var errNotServed = errors.New("the instance did not serve the request")

// withLocation adds the log, the leader and the outcome to an error.
func (r *Replica) withLocation(err error, leader string) error {
	at := fault.Location{Step: "log " + r.opts.Log, Peer: leader}
	if err == nil || errors.Is(err, ErrNotProposed) {
		return fault.Wrap(err, fault.Unavailable, at, fault.NotRun)
	}
	return fault.Wrap(err, fault.Unavailable, at, fault.Unknown)
}

func (r *Replica) forward(ctx context.Context, leader string, body []byte) ([]byte, error) {
	response, err := r.opts.Forward(ctx, leader, r.opts.Log, body)
	if errors.Is(err, ErrNotProposed) {
		return nil, fmt.Errorf("%w: %w", errNotServed, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnknownResult, err)
	}
	if len(response) == 0 {
		return nil, fmt.Errorf("%w: empty response", ErrUnknownResult)
	}
	text := string(response[1:])
	switch response[0] {
	case responseApplied:
		return response[1:], nil
	case responseNotProposed:
		return nil, notProposed(fmt.Errorf("%w: %s", errNotServed, text))
	case responseRejected:
		return nil, notProposed(fmt.Errorf("%w: %s", errRejected, text))
	}
	return nil, fmt.Errorf("%w: %s", ErrUnknownResult, text)
}

// HandleForward serves a request forwarded by another replica. It never forwards
// the request again.
func (r *Replica) HandleForward(ctx context.Context, request []byte) []byte {
	if len(request) == 0 {
		return append([]byte{responseRejected}, "empty request"...)
	}
	ctx, cancel := context.WithTimeout(ctx, maxForwardDuration)
	defer cancel()
	result, err := r.serveForward(ctx, request[0], request[1:])
	switch {
	case err == nil:
		return append([]byte{responseApplied}, result...)
	case r.retryable(err):
		return append([]byte{responseNotProposed}, err.Error()...)
	case errors.Is(err, ErrNotProposed):
		return append([]byte{responseRejected}, err.Error()...)
	}
	return append([]byte{responseUnknown}, err.Error()...)
}

func (r *Replica) serveForward(ctx context.Context, kind byte, body []byte) ([]byte, error) {
	switch kind {
	case forwardCommand:
		return r.proposeLocally(ctx, func(now time.Time) (uint64, uint64, error) { return r.node.Propose(now, body) })
	case forwardChange:
		var c VoterChange
		if err := json.Unmarshal(body, &c); err != nil {
			return nil, notProposed(err)
		}
		return nil, r.changeLocally(ctx, c)
	case forwardTransfer:
		return nil, r.transferLocally(ctx, string(body))
	}
	return nil, notProposed(fmt.Errorf("unknown kind of request %d", kind))
}
