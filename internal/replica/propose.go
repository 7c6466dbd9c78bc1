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

// proposal waits for its entry to be applied.
type proposal struct {
	// taken is set by whoever comes first: the replica's goroutine, which then
	// appends the command, or the caller, who gives up.
	taken  atomic.Bool
	term   uint64
	result []byte
	err    error
	done   chan struct{}
}

func (p *proposal) finish(result []byte, err error) {
	p.result, p.err = result, err
	close(p.done)
}

// Propose replicates a command and returns the state machine's result. It
// forwards the command when another instance leads. An error wraps either
// ErrNotProposed or ErrUnknownResult. The caller must not change command
// afterwards.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return r.onLeader(ctx, forwardCommand, command, func(ctx context.Context) ([]byte, error) {
		return r.proposeHere(ctx, func(now time.Time) (uint64, uint64, error) {
			return r.node.Propose(now, command)
		})
	})
}

// proposeHere appends an entry on this replica if it leads, and waits until it
// is applied. The errors are those of Propose, or a NotLeaderError.
func (r *Replica) proposeHere(ctx context.Context, appendEntry func(time.Time) (index, term uint64, err error)) ([]byte, error) {
	p := &proposal{done: make(chan struct{})}
	queued := r.submit(func(now time.Time, closing bool) {
		if p.taken.Swap(true) {
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
		if !p.taken.Swap(true) {
			return nil, notProposed(ctx.Err())
		}
		return nil, fmt.Errorf("%w: %w", ErrUnknownResult, ctx.Err())
	}
}

func notProposed(cause error) error { return fmt.Errorf("%w: %w", ErrNotProposed, cause) }

// Kinds of forwarded requests and codes of their answers, each the first byte.
const (
	forwardCommand byte = iota + 1
	forwardChange
	forwardTransfer
)

const (
	answerApplied byte = iota + 1
	answerNotProposed
	answerRefused
	answerUnknown
)

// retryPause bounds the wait between two attempts to reach the leader; a
// change of the leader ends it early.
const retryPause = 20 * time.Millisecond

// onLeader runs a request here or on the leader. It tries again only while it
// is proven that the request did not take effect.
func (r *Replica) onLeader(ctx context.Context, kind byte, body []byte, here func(context.Context) ([]byte, error)) ([]byte, error) {
	give := time.Now().Add(r.o.LeaderWait)
	var leader string
	for {
		changed := r.Watch()
		result, err := here(ctx)
		var other *consensus.NotLeaderError
		leader = ""
		if errors.As(err, &other) {
			leader = other.Leader.Instance
		}
		if leader != "" && leader != r.o.ID && r.o.Forward != nil {
			result, err = r.forward(ctx, leader, append([]byte{kind}, body...))
		}
		if err == nil || !r.retryable(err) || time.Now().After(give) {
			return result, r.located(err, leader)
		}
		waitRetry(ctx, changed)
		if ctx.Err() != nil {
			return nil, r.located(notProposed(ctx.Err()), leader)
		}
	}
}

// waitRetry waits before another attempt: for a change, a short time at most.
func waitRetry(ctx context.Context, changed <-chan struct{}) {
	pause := time.NewTimer(retryPause)
	defer pause.Stop()
	select {
	case <-changed:
	case <-pause.C:
	case <-ctx.Done():
	}
}

// errRefused marks an answer that another attempt would not change.
var errRefused = errors.New("the leader refused the request")

func (r *Replica) retryable(err error) bool {
	if !errors.Is(err, ErrNotProposed) || errors.Is(err, errRefused) {
		return false
	}
	var notLeader *consensus.NotLeaderError
	if errors.As(err, &notLeader) {
		return true
	}
	passing := []error{errTryAgain, errDeposed, consensus.ErrTransferring, consensus.ErrNotReady, consensus.ErrChangePending}
	return slices.ContainsFunc(passing, func(cause error) bool { return errors.Is(err, cause) })
}

// errDeposed ends a command whose leader lost its office before the command was
// committed, once no later leader can commit it.
var errDeposed = errors.New("another leader replaced the entry")

var errTryAgain = errors.New("the instance does not lead")

func (r *Replica) located(err error, leader string) error {
	at := fault.At{Step: "log " + r.o.Log, Peer: leader}
	if err == nil || errors.Is(err, ErrNotProposed) {
		return fault.Wrap(err, fault.Unavailable, at, fault.NotRun)
	}
	return fault.Wrap(err, fault.Unavailable, at, fault.Unknown)
}

func (r *Replica) forward(ctx context.Context, leader string, body []byte) ([]byte, error) {
	answer, err := r.o.Forward(ctx, leader, r.o.Log, body)
	if errors.Is(err, ErrNotProposed) {
		return nil, fmt.Errorf("%w: %w", errTryAgain, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnknownResult, err)
	}
	if len(answer) == 0 {
		return nil, fmt.Errorf("%w: empty answer", ErrUnknownResult)
	}
	text := string(answer[1:])
	switch answer[0] {
	case answerApplied:
		return answer[1:], nil
	case answerNotProposed:
		return nil, notProposed(fmt.Errorf("%w: %s", errTryAgain, text))
	case answerRefused:
		return nil, notProposed(fmt.Errorf("%w: %s", errRefused, text))
	}
	return nil, fmt.Errorf("%w: %s", ErrUnknownResult, text)
}

// HandleForward serves a request that another replica's Forward sent. It never
// forwards again.
func (r *Replica) HandleForward(ctx context.Context, request []byte) []byte {
	if len(request) == 0 {
		return append([]byte{answerRefused}, "empty request"...)
	}
	ctx, cancel := context.WithTimeout(ctx, maxForward)
	defer cancel()
	result, err := r.serveForward(ctx, request[0], request[1:])
	switch {
	case err == nil:
		return append([]byte{answerApplied}, result...)
	case r.retryable(err):
		return append([]byte{answerNotProposed}, err.Error()...)
	case errors.Is(err, ErrNotProposed):
		return append([]byte{answerRefused}, err.Error()...)
	}
	return append([]byte{answerUnknown}, err.Error()...)
}

func (r *Replica) serveForward(ctx context.Context, kind byte, body []byte) ([]byte, error) {
	switch kind {
	case forwardCommand:
		return r.proposeHere(ctx, func(now time.Time) (uint64, uint64, error) { return r.node.Propose(now, body) })
	case forwardChange:
		var c VoterChange
		if err := json.Unmarshal(body, &c); err != nil {
			return nil, notProposed(err)
		}
		return nil, r.changeHere(ctx, c)
	case forwardTransfer:
		return nil, r.transferHere(ctx, string(body))
	}
	return nil, notProposed(fmt.Errorf("unknown kind of request %d", kind))
}
