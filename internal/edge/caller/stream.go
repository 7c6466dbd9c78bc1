package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/sse"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

// noPosition is the position before the first event.
const noPosition = -1

// errMissingEvents is returned for a gap in the positions of a stream's events.
var errMissingEvents = errors.New("events are missing from the stream")

// errNotResumable is returned for an interrupted stream that cannot be resumed.
var errNotResumable = errors.New("the stream was interrupted and the upstream cannot resume it")

// stream is the state of a streamed answer across its attempts.
type stream struct {
	*exchange
	slot Slot
	// delivered is the position of the last event sent to the caller.
	delivered int64
	// token is the resume token of the upstream, empty if it cannot resume.
	token string
	// buf is reused to encode events.
	buf []byte
	// writeErr is set once a write to the caller has failed.
	writeErr error
}

// serveStream serves a streamed chat completion. A stream that is interrupted or
// preempted is resumed after the last delivered event if the engine supports it.
func (x *exchange) serveStream(ctx context.Context) error {
	slot, err := x.admit(ctx)
	if err != nil {
		return err
	}
	s := &stream{exchange: x, slot: slot, delivered: noPosition}
	defer func() { slot.Release(Usage{Tokens: x.chat.Messages.tokens() + int(s.delivered) + 1}) }()
	x.Retrier.RecordFirstAttempt(&x.info)
	var lastErr error
	for {
		err := s.runAttempt(ctx)
		if err == nil {
			return nil
		}
		lastErr = mergeOutcome(lastErr, err)
		if errors.Is(err, errPreempted) {
			if err := x.yield(ctx, slot, lastErr); err != nil {
				return s.withPartialOutcome(err)
			}
			continue
		}
		if ctx.Err() != nil || s.delivered != noPosition && s.token == "" {
			return lastErr
		}
		if err := x.retry(ctx, lastErr); err != nil {
			return err
		}
	}
}

// runAttempt makes one attempt and relays its events.
func (s *stream) runAttempt(ctx context.Context) error {
	a, err := s.send(ctx, s.resumeRequest(), false, s.slot.Preempted())
	if err != nil {
		return s.withPartialOutcome(err)
	}
	return s.relayEvents(a)
}

// withPartialOutcome sets the outcome of err to unknown if events have been
// delivered, since the request has run in part.
func (s *stream) withPartialOutcome(err error) error {
	if s.delivered == noPosition {
		return err
	}
	return fault.Wrap(err, fault.CodeOf(err), fault.LocationOf(err), fault.Unknown)
}

// resumeRequest returns the position to resume from, nil before the first event.
func (s *stream) resumeRequest() *upstream.Resume {
	if s.delivered == noPosition {
		return nil
	}
	return &upstream.Resume{Token: s.token, Position: s.delivered}
}

// relayEvents forwards events to the caller until the stream ends or fails.
func (s *stream) relayEvents(a *attempt) error {
	if !strings.HasPrefix(a.resp.Header.Get("Content-Type"), "text/event-stream") {
		return s.relayNonStream(a)
	}
	if a.choice.CanResume() {
		s.token = a.resp.Header.Get(upstream.HeaderResumeToken)
	} else {
		s.token = ""
	}
	if s.token == "" {
		// Without a resume token, a preempted stream could not continue.
		a.disablePreemption()
		if errors.Is(context.Cause(a.ctx), errPreempted) {
			return s.failAttempt(a, fault.UpstreamTruncated, errPreempted)
		}
	}
	idleTimeout := s.info.Route.IdleTimeout
	idleTimer := time.AfterFunc(idleTimeout, func() { a.cancel(errIdleTimeout) })
	defer idleTimer.Stop()
	in := sse.NewReader(a.resp.Body, maxEventBytes)
	out := http.NewResponseController(s.w)
	var e sse.Event
	for {
		if err := in.Read(&e); err != nil {
			return s.failAttempt(a, fault.UpstreamTruncated, err)
		}
		idleTimer.Reset(idleTimeout)
		if e.IsDone() {
			return s.finishStream(a, out)
		}
		if e.Name == "error" {
			return s.failAttempt(a, fault.UpstreamProtocol, fmt.Errorf("the engine reported an error: %s", e.Data))
		}
		if err := s.deliver(a, &e); err != nil {
			return err
		}
		a.recordEvent(time.Now())
		// Flush events that arrived together with one system call.
		if in.Buffered() {
			continue
		}
		if err := s.flush(a, out); err != nil {
			return err
		}
	}
}

func (s *stream) flush(a *attempt, out *http.ResponseController) error {
	if s.writeErr != nil {
		return nil
	}
	if err := out.Flush(); err != nil {
		return s.handleWriteError(a, err)
	}
	return nil
}

// handleWriteError fails the attempt after a write to the caller has failed. If
// the attempt outlives its caller, the rest of the stream is read and discarded
// instead.
func (s *stream) handleWriteError(a *attempt, err error) error {
	if a.choice.OutlivesCaller() {
		s.writeErr = err
		return nil
	}
	return a.fail(callerDisconnected(err))
}

// deliver sends an event to the caller, unless an earlier attempt has delivered
// it.
func (s *stream) deliver(a *attempt, e *sse.Event) error {
	switch {
	case e.Position < 0:
		return s.failAttempt(a, fault.UpstreamProtocol, errors.New("a stream event has no position"))
	case e.Position <= s.delivered:
		return nil
	case e.Position > s.delivered+1:
		return s.failAttempt(a, fault.UpstreamProtocol, errMissingEvents)
	}
	s.delivered = e.Position
	s.finished.Tokens = int(s.delivered) + 1
	if s.writeErr != nil {
		return nil
	}
	if !s.wroteHeader {
		s.writeHeader(a.resp.StatusCode, a.resp.Header)
	}
	s.buf = sse.Append(s.buf[:0], e)
	if _, err := s.w.Write(s.buf); err != nil {
		return s.handleWriteError(a, err)
	}
	return nil
}

// finishStream finishes the attempt and sends the end marker of the stream.
func (s *stream) finishStream(a *attempt, out *http.ResponseController) error {
	if !s.wroteHeader {
		s.writeHeader(a.resp.StatusCode, a.resp.Header)
	}
	a.finish(Result{OK: true})
	_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
	_ = out.Flush()
	return nil
}

// failAttempt fails an attempt whose stream is incomplete. The cause of a
// cancellation takes precedence over code and err.
func (s *stream) failAttempt(a *attempt, code fault.Code, err error) error {
	switch cause := context.Cause(a.ctx); {
	case errors.Is(cause, errPreempted):
		return a.fail(fault.Wrap(errPreempted, fault.UpstreamFailed, fault.Location{Step: StepRelay, Peer: a.choice.Target().ID}, fault.Unknown))
	case errors.Is(cause, errIdleTimeout):
		code, err = fault.DeadlineExceeded, errIdleTimeout
	case errors.Is(cause, context.DeadlineExceeded):
		code = fault.DeadlineExceeded
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	at := fault.Location{Step: StepRelay, Peer: a.choice.Target().ID}
	err = a.fail(fault.Wrap(err, code, at, fault.Unknown))
	if s.delivered != noPosition && s.token == "" {
		return fault.Wrap(errNotResumable, fault.UpstreamTruncated, fault.LocationOf(err), fault.Unknown)
	}
	return err
}

// relayNonStream relays a response that is not an event stream, such as an error
// response to an invalid request.
func (s *stream) relayNonStream(a *attempt) error {
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, responseBufferBytes+1))
	if err == nil && len(body) > responseBufferBytes {
		err = fmt.Errorf("the response is not an event stream and exceeds %d bytes", responseBufferBytes)
	}
	if err != nil || s.wroteHeader {
		return s.failAttempt(a, fault.UpstreamProtocol, errors.Join(err, fmt.Errorf("the engine returned status %s", a.resp.Status)))
	}
	a.finish(Result{OK: true})
	s.writeResponse(a.resp.StatusCode, a.resp.Header, body)
	return nil
}

// callerDisconnected wraps the error of a write to a caller that has
// disconnected. It returns nil for nil.
func callerDisconnected(err error) error {
	return fault.Wrap(err, fault.Unavailable, fault.Location{Step: StepRelay, Peer: "caller"}, fault.Unknown)
}
