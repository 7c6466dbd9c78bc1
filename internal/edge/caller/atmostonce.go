package caller

import (
	"context"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/bluebellfield/bluebellfield/internal/fault"
)

// serveAtMostOnce serves a request that must run at most once.
func (x *exchange) serveAtMostOnce(ctx context.Context) error {
	key := x.r.Header.Get(headerIdempotencyKey)
	if key == "" {
		return x.serveWithoutKey(ctx)
	}
	id := ClaimID{Account: x.info.Account.ID, Route: x.info.Route.Service, Key: key, Holder: x.info.RequestID}
	for {
		err := x.serveWithKey(ctx, id)
		// The request that held the key did not run, so this one tries to claim
		// it again.
		if fault.CodeOf(err) != fault.Conflict || fault.OutcomeOf(err) != fault.NotRun || ctx.Err() != nil {
			return err
		}
	}
}

// serveWithKey claims the key and runs the request. If an earlier request claimed
// the key, its recorded answer is returned instead. The error is fault.Conflict
// if that request did not run.
func (x *exchange) serveWithKey(ctx context.Context, id ClaimID) error {
	slot, err := x.admit(ctx)
	if err != nil {
		return err
	}
	releaseSlot := func() { slot.Release(Usage{Tokens: unknownTokens}) }
	state, answer, err := x.claim(ctx, id)
	if err != nil {
		releaseSlot()
		return err
	}
	if state != ClaimGranted {
		releaseSlot()
		return x.replay(ctx, id, state, answer)
	}
	return x.runClaimed(ctx, id, releaseSlot)
}

// claim asks for the claim of the idempotency key.
func (x *exchange) claim(ctx context.Context, id ClaimID) (ClaimState, RecordedAnswer, error) {
	ctx, span := x.Tracer.Start(ctx, "claim")
	defer span.End()
	state, answer, err := x.Claimer.Claim(ctx, id, x.info.Digest)
	return state, answer, fault.Wrap(err, fault.CodeOf(err), fault.Location{Step: StepClaim, Peer: fault.LocationOf(err).Peer}, fault.OutcomeOf(err))
}

// replay returns the recorded answer of the request that claimed the key.
func (x *exchange) replay(ctx context.Context, id ClaimID, state ClaimState, answer RecordedAnswer) error {
	at := fault.Location{Step: StepClaim}
	if state == ClaimRunning {
		var err error
		if state, answer, err = x.Claimer.Await(ctx, id, x.info.Digest); err != nil {
			return fault.Wrap(err, fault.CodeOf(err), at, fault.OutcomeOf(err))
		}
	}
	if state != ClaimDone {
		return fault.New(fault.OutcomeLost, at, fault.Unknown, "the outcome of the first request with this idempotency key is unknown")
	}
	if !answer.Stored {
		return fault.New(fault.OutcomeLost, at, fault.Ran, "the first request with this idempotency key ran, but its answer was too large to store")
	}
	x.w.Header().Set(HeaderReplayed, "true")
	x.writeResponse(answer.Status, answer.Header, answer.Body)
	return nil
}

// callResult is the response to a request that runs at most once, or the error.
type callResult struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// runClaimed runs a claimed request and records its answer. It continues if the
// caller disconnects, so that a resend of the request gets the answer.
func (x *exchange) runClaimed(ctx context.Context, id ClaimID, releaseSlot func()) error {
	deadline, _ := ctx.Deadline()
	detached := trace.ContextWithSpan(context.WithoutCancel(ctx), trace.SpanFromContext(ctx))
	detached, cancel := context.WithDeadline(detached, deadline)
	defer cancel()
	detached, unbind := x.stop.Bind(detached)
	defer unbind()
	defer releaseSlot()
	result := x.sendAtMostOnce(detached)
	x.recordClaimOutcome(id, result)
	if result.err != nil {
		return result.err
	}
	x.writeResponse(result.status, result.header, result.body)
	return nil
}

// recordClaimOutcome records the answer of a claimed request, or releases the
// claim if the request did not run.
func (x *exchange) recordClaimOutcome(id ClaimID, result callResult) {
	switch {
	case result.err == nil:
		x.Claimer.Complete(id, &RecordedAnswer{Status: result.status, Header: result.header, Body: result.body, Stored: true})
	case fault.OutcomeOf(result.err) == fault.NotRun:
		x.Claimer.Release(id)
	default:
		x.Claimer.Complete(id, nil)
	}
}

// serveWithoutKey serves a request that has no idempotency key.
func (x *exchange) serveWithoutKey(ctx context.Context) error {
	slot, err := x.admit(ctx)
	if err != nil {
		return err
	}
	defer slot.Release(Usage{Tokens: unknownTokens})
	result := x.sendAtMostOnce(ctx)
	if result.err != nil {
		return result.err
	}
	x.writeResponse(result.status, result.header, result.body)
	return nil
}

// sendAtMostOnce sends the request and reads the response. It makes another
// attempt only if the one before is proven not to have run.
func (x *exchange) sendAtMostOnce(ctx context.Context) callResult {
	x.Retrier.RecordFirstAttempt(&x.info)
	for {
		a, err := x.send(ctx, nil, true, nil)
		if err == nil {
			return x.readResponse(a)
		}
		if err := x.retry(ctx, err); err != nil {
			return callResult{err: err}
		}
	}
}

// readResponse reads the response up to the size limit and finishes the attempt.
func (x *exchange) readResponse(a *attempt) callResult {
	limit := x.info.Route.MaxResponseBytes
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return callResult{err: a.fail(x.tooLargeError(a))}
	}
	if err == nil {
		err = a.checkEnd()
	}
	if err != nil {
		return callResult{err: a.fail(x.truncatedError(a, err))}
	}
	a.finish(Result{OK: true})
	x.finished.FirstByte = time.Since(x.started)
	return callResult{status: a.resp.StatusCode, header: a.resp.Header, body: body}
}
