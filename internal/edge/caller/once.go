package caller

import (
	"context"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/bluebellfield/bluebellfield/internal/fault"
)

// serveOnce answers a request that must run at most once.
func (x *exchange) serveOnce(ctx context.Context) error {
	key := x.r.Header.Get(headerIdempotencyKey)
	if key == "" {
		return x.serveUnclaimed(ctx)
	}
	id := ClaimID{Account: x.work.Account.ID, Route: x.work.Route.Service, Key: key, Holder: x.work.RequestID}
	for {
		err := x.serveClaimed(ctx, id)
		// The request that held the key did not run, so this one may claim it.
		if fault.CodeOf(err) != fault.Conflict || fault.OutcomeOf(err) != fault.NotRun || ctx.Err() != nil {
			return err
		}
	}
}

// serveClaimed claims a key and runs the request, or answers as the request
// that claimed the key before was answered. The error is fault.Conflict when
// that one did not run.
func (x *exchange) serveClaimed(ctx context.Context, id ClaimID) error {
	slot, err := x.admit(ctx)
	if err != nil {
		return err
	}
	release := func() { slot.Release(Usage{Tokens: unknownTokens}) }
	state, answer, err := x.claim(ctx, id)
	if err != nil {
		release()
		return err
	}
	if state != ClaimGranted {
		release()
		return x.replay(ctx, id, state, answer)
	}
	return x.runClaimed(ctx, id, release)
}

func (x *exchange) claim(ctx context.Context, id ClaimID) (ClaimState, Answer, error) {
	ctx, span := x.Tracer.Start(ctx, "claim")
	defer span.End()
	state, answer, err := x.Claimer.Claim(ctx, id, x.work.Digest)
	return state, answer, fault.Wrap(err, fault.CodeOf(err), fault.At{Step: StepClaim, Peer: fault.Location(err).Peer}, fault.OutcomeOf(err))
}

// replay answers a request whose key was claimed before.
func (x *exchange) replay(ctx context.Context, id ClaimID, state ClaimState, answer Answer) error {
	at := fault.At{Step: StepClaim}
	if state == ClaimRunning {
		var err error
		if state, answer, err = x.Claimer.Await(ctx, id, x.work.Digest); err != nil {
			return fault.Wrap(err, fault.CodeOf(err), at, fault.OutcomeOf(err))
		}
	}
	if state != ClaimDone {
		return fault.New(fault.OutcomeLost, at, fault.Unknown, "the outcome of the first request with this idempotency key is unknown")
	}
	if !answer.Stored {
		return fault.New(fault.OutcomeLost, at, fault.Ran, "the first request with this idempotency key ran; its answer was too large to keep")
	}
	x.w.Header().Set(HeaderReplayed, "true")
	x.writeAnswer(answer.Status, answer.Header, answer.Body)
	return nil
}

// claimedResult is what a claimed run leaves for its caller.
type claimedResult struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// runClaimed runs a claimed request to its end even when the caller goes away,
// so that a resend finds the answer.
func (x *exchange) runClaimed(ctx context.Context, id ClaimID, release func()) error {
	deadline, _ := ctx.Deadline()
	detached := trace.ContextWithSpan(context.WithoutCancel(ctx), trace.SpanFromContext(ctx))
	detached, cancel := context.WithDeadline(detached, deadline)
	defer cancel()
	defer release()
	result := x.attemptOnce(detached)
	x.settle(id, result)
	if result.err != nil {
		return result.err
	}
	x.writeAnswer(result.status, result.header, result.body)
	return nil
}

// settle records what became of a claimed request.
func (x *exchange) settle(id ClaimID, result claimedResult) {
	switch {
	case result.err == nil:
		x.Claimer.Complete(id, &Answer{Status: result.status, Header: result.header, Body: result.body, Stored: true})
	case fault.OutcomeOf(result.err) == fault.NotRun:
		x.Claimer.Release(id)
	default:
		x.Claimer.Complete(id, nil)
	}
}

// serveUnclaimed runs a request without an idempotency key. It is sent again
// only while no byte can have reached an upstream.
func (x *exchange) serveUnclaimed(ctx context.Context) error {
	slot, err := x.admit(ctx)
	if err != nil {
		return err
	}
	defer slot.Release(Usage{Tokens: unknownTokens})
	result := x.attemptOnce(ctx)
	if result.err != nil {
		return result.err
	}
	x.writeAnswer(result.status, result.header, result.body)
	return nil
}

// attemptOnce sends the request until an upstream may have received it.
func (x *exchange) attemptOnce(ctx context.Context) claimedResult {
	x.Retrier.First(&x.work)
	for {
		t, err := x.send(ctx, nil, true, nil)
		if err == nil {
			return x.readOnce(t)
		}
		if err := x.retry(ctx, err); err != nil {
			return claimedResult{err: err}
		}
	}
}

func (x *exchange) readOnce(t *try) claimedResult {
	limit := x.work.Route.MaxResponseBytes
	body, err := io.ReadAll(io.LimitReader(t.resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return claimedResult{err: t.fail(x.tooLarge(t))}
	}
	if err != nil {
		return claimedResult{err: t.fail(x.truncated(t, err))}
	}
	t.end(Result{OK: true})
	x.finished.FirstByte = time.Since(x.started)
	return claimedResult{status: t.resp.StatusCode, header: t.resp.Header, body: body}
}
