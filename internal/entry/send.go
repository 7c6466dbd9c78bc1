package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/balance"
	"github.com/bluebellfield/bluebellfield/catalog"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fault"
)

// hopHeaders concern one connection, or would make the transport act on them.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// maxBuffered bounds the part of an answer that is held back until it is known
// to be whole, so that a request may be sent again when it is cut off.
const maxBuffered = 256 << 10

// errMoved is the cause of a send that was given up for another upstream.
var errMoved = errors.New("moved to another upstream")

// errWrongAnswer means that the answer belongs to another request.
var errWrongAnswer = errors.New("the answer belongs to another request")

// sendResult is what became of one send.
type sendResult struct {
	// done says that the caller was answered.
	done bool
	// ran says that the request may have run.
	ran bool
	// prepaid says that another send was taken from the budget already.
	prepaid bool
	// unsent says that the upstream received nothing.
	unsent     bool
	retryAfter time.Duration
	reason     string
	// held is a failure answered by the upstream that can be passed on.
	held *heldAnswer
}

// heldAnswer is an upstream's answer that was read whole.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// send sends the request to a target and passes its answer on.
func (x *exchange) send(ctx context.Context, t *target, decision balance.Decision) sendResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.tried[t] = true
	started := time.Now()
	estimate := x.estimate(started, t)
	s := &send{target: t, started: started, deferred: decision.Deferred, wait: decision.Wait, cancel: cancel,
		record: sendRecord{upstream: t.upstream.ID, group: t.upstream.Member.Group, at: started.Sub(x.started), load: estimate.Running, deferred: decision.Deferred}}
	s.load = t.begin(x.request.PromptTokens, decision.Deferred)
	defer s.load.end()
	result := x.exchangeWith(ctx, s)
	record := s.record
	record.took = time.Since(started)
	record.result = result.reason
	if result.done && record.result == "" {
		record.result = "answered"
	}
	x.sends = append(x.sends, record)
	if result.ran && !result.done {
		x.runs++
	}
	return result
}

// send is one send that is under way.
type send struct {
	target  *target
	started time.Time
	// deferred sends give way to timely ones.
	deferred bool
	// wait is the time for which the send was expected to wait.
	wait     time.Duration
	cancel   context.CancelCauseFunc
	load     *load
	watchdog *watchdog
	record   sendRecord
}

func (x *exchange) exchangeWith(ctx context.Context, s *send) sendResult {
	t := s.target
	req, err := x.buildRequest(ctx, s)
	if err != nil {
		return sendResult{reason: err.Error()}
	}
	if x.service.Engine != nil {
		s.watchdog = x.watch(s)
		defer s.watchdog.stop()
	}
	resp, err := x.e.o.Client.Exchange(req, fault.At{Step: upstream.StepDispatch, Peer: t.upstream.ID}, false)
	if err != nil {
		return x.sendFailed(ctx, s, err)
	}
	defer resp.Body.Close()
	now := time.Now()
	answer := x.e.o.Protocol.ParseAnswer(resp)
	if answer.ID != "" && answer.ID != x.request.ID {
		s.cancel(errWrongAnswer)
		return sendResult{ran: true, reason: errWrongAnswer.Error()}
	}
	if answer.Load != nil {
		t.report(now, answer.Load)
	}
	if answer.NotRun {
		t.unreachable(now)
		return sendResult{reason: fmt.Sprintf("upstream refused with status %d", resp.StatusCode), retryAfter: notRunRetry}
	}
	t.alive(now)
	if x.route.Kind == catalog.Stream && resp.StatusCode == http.StatusOK {
		return x.relayStream(ctx, s, resp)
	}
	return x.relayWhole(ctx, s, resp)
}

// notRunRetry is when a caller may return after every upstream that was asked
// has refused to run its request.
const notRunRetry = 300 * time.Millisecond

// sendFailed judges a send without an answer.
func (x *exchange) sendFailed(ctx context.Context, s *send, err error) sendResult {
	ran := fault.OutcomeOf(err) != fault.NotRun
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errMoved):
		x.e.stats.moved.Inc(1)
		return sendResult{ran: true, prepaid: true, reason: s.watchdog.reason}
	case ctx.Err() == nil || !ran:
		s.target.unreachable(time.Now())
	}
	x.e.o.Logger.Debug("send failed", zap.String("request", x.request.ID), zap.String("upstream", s.target.upstream.ID), zap.Error(err))
	if ctx.Err() != nil {
		return sendResult{ran: ran, reason: cause.Error()}
	}
	return sendResult{ran: ran, unsent: !ran, retryAfter: notRunRetry, reason: codeOf(err) + ": " + err.Error()}
}

func (x *exchange) buildRequest(ctx context.Context, s *send) (*http.Request, error) {
	t := s.target
	req, err := http.NewRequestWithContext(ctx, x.r.Method, "http://"+t.upstream.Address+x.r.URL.RequestURI(), bytes.NewReader(x.body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot replay the body by itself.
	req.GetBody = nil
	if len(x.body) == 0 {
		req.Body = http.NoBody
	}
	req.Host = x.r.Host
	req.Header = endToEnd(x.r.Header)
	if req.Header.Get("User-Agent") == "" {
		// Keeps the transport from adding its own.
		req.Header.Set("User-Agent", "")
	}
	attempt := Attempt{Upstream: t.upstream.ID, Remaining: time.Until(x.deadline), Priority: x.priority, Deferred: s.deferred, Resume: x.request.Resume}
	if x.account != nil {
		attempt.Account = x.account.Name
	}
	if x.position >= 0 {
		attempt.Resume = x.position
	}
	x.e.o.Protocol.WriteAttempt(req.Header, attempt)
	return req, nil
}

// endToEnd copies headers without those that concern one connection.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range h.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// relayWhole passes on an answer that is not a stream. It is held until it is
// whole, so that a request may be sent again when the answer is cut off.
func (x *exchange) relayWhole(ctx context.Context, s *send, resp *http.Response) sendResult {
	t := s.target
	if x.begun {
		// The caller's stream has begun, and this is no continuation of it.
		t.failed(time.Now())
		return sendResult{ran: true, reason: fmt.Sprintf("upstream answered %d to a resumed stream", resp.StatusCode)}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBuffered+1))
	if err != nil {
		t.failed(time.Now())
		if ctx.Err() != nil {
			return sendResult{ran: true, reason: context.Cause(ctx).Error()}
		}
		return sendResult{ran: true, reason: "answer cut off: " + err.Error()}
	}
	if len(body) > maxBuffered {
		t.succeeded()
		x.writeHeader(resp.StatusCode, resp.Header, resp.ContentLength)
		return x.copyRest(body, resp.Body)
	}
	held := &heldAnswer{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		t.failed(time.Now())
		return sendResult{ran: true, held: held, reason: fmt.Sprintf("upstream answered %d", resp.StatusCode)}
	}
	t.succeeded()
	if s.wait == 0 {
		x.e.usual.add(x.service.Name, "", time.Since(s.started))
	}
	x.passOn(held)
	return sendResult{done: true}
}

func (x *exchange) copyRest(start []byte, rest io.Reader) sendResult {
	_, err := io.Copy(x.w, io.MultiReader(bytes.NewReader(start), rest))
	if err != nil {
		x.outcome, x.reason = outcomeFailed, "answer cut off: "+err.Error()
		panic(http.ErrAbortHandler)
	}
	x.outcome = outcomeServed
	return sendResult{done: true}
}

// passOn sends a whole answer of an upstream to the caller.
func (x *exchange) passOn(held *heldAnswer) {
	x.writeHeader(held.status, held.header, int64(len(held.body)))
	x.outcome = outcomeServed
	if held.status >= http.StatusInternalServerError {
		x.outcome, x.reason = outcomeFailed, fmt.Sprintf("upstream answered %d", held.status)
	}
	if _, err := x.w.Write(held.body); err != nil {
		x.outcome, x.reason = outcomeAbandoned, err.Error()
	}
}

// writeHeader begins the answer with the headers of an upstream. A negative
// length leaves it open.
func (x *exchange) writeHeader(status int, header http.Header, length int64) {
	h := x.w.Header()
	for name, values := range endToEnd(header) {
		h[name] = values
	}
	if length >= 0 && status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", fmt.Sprint(length))
	}
	x.begun, x.firstByte, x.status = true, time.Now(), status
	x.w.WriteHeader(status)
}
