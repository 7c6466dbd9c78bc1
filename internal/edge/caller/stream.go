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

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// noPosition is the position before the first event.
const noPosition = -1

// errGap is returned when events are missing from a stream.
var errGap = errors.New("events are missing from the stream")

// errNotResumable is returned when a broken stream cannot go on.
var errNotResumable = errors.New("the stream broke and the upstream cannot resume it")

// stream is the state of a streamed answer across its attempts.
type stream struct {
	*exchange
	slot Slot
	// delivered is the position of the last event sent to the caller.
	delivered int64
	token     string
	buf       []byte
	// gone is why nothing more can be sent to the caller.
	gone error
}

// serveStream answers a streamed chat completion. A stream that breaks or is
// preempted is resumed after the last delivered event where engines can.
func (x *exchange) serveStream(ctx context.Context) error {
	slot, err := x.admit(ctx)
	if err != nil {
		return err
	}
	s := &stream{exchange: x, slot: slot, delivered: noPosition}
	defer func() { slot.Release(Usage{Tokens: promptTokens(x.work.Prompt) + int(s.delivered) + 1}) }()
	x.Retrier.First(&x.work)
	var last error
	for {
		err := s.run(ctx)
		if err == nil {
			return nil
		}
		last = earlier(last, err)
		if errors.Is(err, errPreempted) {
			if err := x.yield(ctx, slot, last); err != nil {
				return s.afterStart(err)
			}
			continue
		}
		if ctx.Err() != nil || s.delivered != noPosition && s.token == "" {
			return last
		}
		if err := x.retry(ctx, last); err != nil {
			return err
		}
	}
}

// run makes one attempt.
func (s *stream) run(ctx context.Context) error {
	t, err := s.send(ctx, s.resume(), false, s.slot.Preempted())
	if err != nil {
		return s.afterStart(err)
	}
	return s.relayEvents(t)
}

// afterStart corrects the outcome of an error that arose after events had been
// delivered: the request has run in part.
func (s *stream) afterStart(err error) error {
	if s.delivered == noPosition {
		return err
	}
	return fault.Wrap(err, fault.CodeOf(err), fault.Location(err), fault.Unknown)
}

func (s *stream) resume() *upstream.Resume {
	if s.delivered == noPosition {
		return nil
	}
	return &upstream.Resume{Token: s.token, Position: s.delivered}
}

// relayEvents passes events on until the stream ends or breaks.
func (s *stream) relayEvents(t *try) error {
	if !strings.HasPrefix(t.resp.Header.Get("Content-Type"), "text/event-stream") {
		return s.relayRefusal(t)
	}
	if t.choice.CanResume() {
		s.token = t.resp.Header.Get(upstream.HeaderResumeToken)
	} else {
		s.token = ""
	}
	if s.token == "" {
		// What is sent from here on cannot be resumed.
		t.keep()
		if errors.Is(context.Cause(t.ctx), errPreempted) {
			return s.broken(t, fault.UpstreamTruncated, errPreempted)
		}
	}
	idle := s.work.Route.IdleTimeout
	stalled := time.AfterFunc(idle, func() { t.cancel(errStalled) })
	defer stalled.Stop()
	in := sse.NewReader(t.resp.Body, maxEventBytes)
	out := http.NewResponseController(s.w)
	var e sse.Event
	for {
		if err := in.Read(&e); err != nil {
			return s.broken(t, fault.UpstreamTruncated, err)
		}
		stalled.Reset(idle)
		if e.IsDone() {
			return s.done(t, out)
		}
		if e.Name == "error" {
			return s.broken(t, fault.UpstreamProtocol, fmt.Errorf("the engine reported %s", e.Data))
		}
		if err := s.deliver(t, &e); err != nil {
			return err
		}
		// Events that arrived together leave together, with one system call.
		if in.Pending() {
			continue
		}
		if err := s.flush(t, out); err != nil {
			return err
		}
	}
}

func (s *stream) flush(t *try, out *http.ResponseController) error {
	if s.gone != nil {
		return nil
	}
	if err := out.Flush(); err != nil {
		return s.leave(t, err)
	}
	return nil
}

// leave ends an attempt whose caller has gone away, unless it outlives its
// caller: the rest of the stream is then read and discarded.
func (s *stream) leave(t *try, err error) error {
	if t.choice.OutlivesCaller() {
		s.gone = err
		return nil
	}
	return t.fail(callerGone(err))
}

// deliver sends an event to the caller unless it was sent before.
func (s *stream) deliver(t *try, e *sse.Event) error {
	switch {
	case e.Position < 0:
		return s.broken(t, fault.UpstreamProtocol, errors.New("a stream event carries no position"))
	case e.Position <= s.delivered:
		return nil
	case e.Position > s.delivered+1:
		return s.broken(t, fault.UpstreamProtocol, errGap)
	}
	s.delivered = e.Position
	s.finished.Tokens = int(s.delivered) + 1
	if s.gone != nil {
		return nil
	}
	if !s.wrote {
		s.writeHead(t.resp.StatusCode, t.resp.Header)
	}
	s.buf = sse.Append(s.buf[:0], e)
	if _, err := s.w.Write(s.buf); err != nil {
		return s.leave(t, err)
	}
	return nil
}

func (s *stream) done(t *try, out *http.ResponseController) error {
	if !s.wrote {
		s.writeHead(t.resp.StatusCode, t.resp.Header)
	}
	t.end(Result{OK: true})
	_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
	_ = out.Flush()
	return nil
}

// broken ends an attempt whose stream did not finish.
func (s *stream) broken(t *try, code fault.Code, err error) error {
	switch cause := context.Cause(t.ctx); {
	case errors.Is(cause, errPreempted):
		return t.fail(fault.Wrap(errPreempted, fault.UpstreamFailed, fault.At{Step: StepRelay, Peer: t.choice.Target().ID}, fault.Unknown))
	case errors.Is(cause, errStalled):
		code, err = fault.DeadlineExceeded, errStalled
	case errors.Is(cause, context.DeadlineExceeded):
		code = fault.DeadlineExceeded
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	at := fault.At{Step: StepRelay, Peer: t.choice.Target().ID}
	err = t.fail(fault.Wrap(err, code, at, fault.Unknown))
	if s.delivered != noPosition && s.token == "" {
		return fault.Wrap(errNotResumable, fault.UpstreamTruncated, fault.Location(err), fault.Unknown)
	}
	return err
}

// relayRefusal passes on an answer that is not a stream, such as an error of
// the engine about the request itself.
func (s *stream) relayRefusal(t *try) error {
	body, err := io.ReadAll(io.LimitReader(t.resp.Body, spoolBytes+1))
	if err == nil && len(body) > spoolBytes {
		err = fmt.Errorf("the answer is not a stream and exceeds %d bytes", spoolBytes)
	}
	if err != nil || s.wrote {
		return s.broken(t, fault.UpstreamProtocol, errors.Join(err, fmt.Errorf("the engine answered %s", t.resp.Status)))
	}
	t.end(Result{OK: true})
	s.writeAnswer(t.resp.StatusCode, t.resp.Header, body)
	return nil
}

// callerGone is the error of a request whose caller went away, nil for nil.
func callerGone(err error) error {
	return fault.Wrap(err, fault.Unavailable, fault.At{Step: StepRelay, Peer: "caller"}, fault.Unknown)
}
