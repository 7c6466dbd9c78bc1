package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/balance"
	"github.com/bluebellfield/bluebellfield/catalog"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/quarantine"
)

// hopHeaders are the hop-by-hop headers, and headers that would change the
// behavior of the HTTP transport.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// maxBufferedBytes is the size up to which a response is buffered until it is
// complete, so that the request can be retried if the response is truncated.
const maxBufferedBytes = 256 << 10

// errMoved cancels an attempt that is abandoned in favor of another upstream.
var errMoved = errors.New("moved to another upstream")

// errWrongRequestID is returned for a response with the id of another request.
var errWrongRequestID = errors.New("the answer belongs to another request")

// errForeignAnswer is returned for a success that is no answer of an upstream.
var errForeignAnswer = errors.New("the answer does not come from an upstream")

// isSuccess reports whether a response has a 2xx status.
func isSuccess(resp *http.Response) bool { return resp.StatusCode/100 == 2 }

// attemptResult is the result of one attempt.
type attemptResult struct {
	// done is set if the caller has been answered.
	done bool
	// ran is set if the upstream may have run the request.
	ran bool
	// budgetTaken is set if the next attempt has already been taken from the
	// retry budget.
	budgetTaken bool
	// unreachable is set if the request did not reach the upstream.
	unreachable bool
	// broken is set if the connection broke while the request was in flight. The
	// upstream may have ended.
	broken     bool
	retryAfter time.Duration
	reason     string
	// response is a failure response of the upstream, relayed to the caller if
	// the request cannot be retried.
	response *bufferedResponse
}

// bufferedResponse is an upstream's response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to a target and relays the response. It returns false
// if quarantine or the limit of the target no longer allows the attempt.
func (x *exchange) attempt(caller context.Context, t *target, decision balance.Decision) (attemptResult, bool) {
	started := time.Now()
	if !x.e.limits.Take(t.process()) {
		return attemptResult{}, false
	}
	run, ok := x.startRun(started, t)
	if !ok {
		return attemptResult{}, false
	}
	finished := false
	defer func() {
		// Writing to a caller that has left ends the exchange with a panic.
		if !finished {
			x.e.crashes.Finish(run, quarantine.Cancelled)
		}
	}()
	ctx, cancel := context.WithCancelCause(caller)
	defer cancel(nil)
	x.tried[t] = true
	estimate := x.candidate(started, t)
	a := &upstreamAttempt{target: t, run: run, started: started, deferred: decision.Deferred, expectedWait: decision.Wait, cancel: cancel,
		record: attemptRecord{upstream: t.upstream.ID, group: t.upstream.Member.Group, at: started.Sub(x.started), load: estimate.Running, deferred: decision.Deferred}}
	a.load = t.addRequest(started, x.request.PromptTokens, decision.Deferred)
	defer a.load.end()
	result := x.forward(ctx, a)
	finished = true
	x.finishRun(caller, t, run, &result)
	record := a.record
	record.took = time.Since(started)
	record.result, record.broken = result.reason, result.broken
	if result.done && record.result == "" {
		record.result = "answered"
	}
	x.attempts = append(x.attempts, record)
	if result.ran && !result.done {
		x.runs++
	}
	return result, true
}

// upstreamAttempt is an attempt in progress.
type upstreamAttempt struct {
	target *target
	// run is the number of the attempt in quarantine.
	run     uint64
	started time.Time
	// firstEvent is the time of the first event; progressed is set when the
	// attempt has been reported as past the start of its answer.
	firstEvent time.Time
	progressed bool
	// deferred attempts yield to those that can meet their deadline.
	deferred bool
	// expectedWait is the queueing delay that was estimated when the target was
	// chosen.
	expectedWait time.Duration
	// paused is set if the upstream asked for a pause, which is no failure.
	paused   bool
	cancel   context.CancelCauseFunc
	load     *requestLoad
	watchdog *watchdog
	record   attemptRecord
}

// forward performs one attempt: it sends the request and relays the response.
func (x *exchange) forward(ctx context.Context, a *upstreamAttempt) attemptResult {
	t := a.target
	req, err := x.buildRequest(ctx, a)
	if err != nil {
		return attemptResult{reason: err.Error()}
	}
	if x.service.Engine != nil {
		a.watchdog = x.startWatchdog(a)
		defer a.watchdog.stop()
	}
	slowConnect := time.AfterFunc(connectTimeout, func() { t.recordSlowConnect(time.Now()) })
	defer slowConnect.Stop()
	reused := false
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		slowConnect.Stop()
		reused = info.Reused
		a.record.through = upstream.Through(info.Conn)
	}}))
	resp, err := x.e.opts.Client.Exchange(req, fault.Location{Step: upstream.StepDispatch, Peer: t.upstream.ID}, false)
	if err != nil {
		return x.handleSendError(ctx, a, err)
	}
	defer resp.Body.Close()
	now := time.Now()
	headers := x.e.opts.Protocol.ParseResponse(resp)
	// On a connection that has served another request, an answer without an id may
	// be a late copy of the earlier answer.
	if headers.ID != x.request.ID && (headers.ID != "" || reused) {
		a.cancel(errWrongRequestID)
		return attemptResult{ran: true, reason: errWrongRequestID.Error()}
	}
	if isSuccess(resp) && (headers.ID == "" || !headers.Signed) {
		// The server of another system may have the address, or the answer was
		// spoiled. Whether the upstream has run the request is not known.
		t.recordUnreachable(now)
		a.cancel(errForeignAnswer)
		return attemptResult{ran: true, reason: errForeignAnswer.Error()}
	}
	if headers.Load != nil {
		t.recordLoad(now, headers.Load)
	}
	x.observeLimit(t, resp, headers.Limit)
	if headers.Leaving {
		x.e.recordLeaving(t, x.request.ID)
	}
	if headers.Pause > 0 {
		a.paused = true
		x.e.recordPause(t, headers.Pause, x.request.ID)
	}
	if headers.NotRun {
		if !a.paused {
			t.recordUnreachable(now)
		}
		return attemptResult{reason: fmt.Sprintf("upstream refused with status %d", resp.StatusCode), retryAfter: notRunRetryAfter}
	}
	t.recordProgress(now)
	a.record.begun = true
	if x.route.Kind == catalog.Stream && resp.StatusCode == http.StatusOK && isEventStream(resp) {
		return x.relayStream(ctx, a, resp)
	}
	return x.relayBuffered(ctx, a, resp)
}

// observeLimit records whether an answer names a limit. A misdirected request was
// answered by another upstream.
func (x *exchange) observeLimit(t *target, resp *http.Response, limit *float64) {
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
	case limit == nil:
		x.e.limits.Observe(t.process(), 0, false)
	default:
		x.e.limits.Observe(t.process(), *limit, true)
	}
}

// notRunRetryAfter is the Retry-After of a request that no upstream ran: each
// one that was tried refused it or could not be reached.
const notRunRetryAfter = 300 * time.Millisecond

// handleSendError classifies an attempt that got no response.
func (x *exchange) handleSendError(ctx context.Context, a *upstreamAttempt, err error) attemptResult {
	ran := fault.OutcomeOf(err) != fault.NotRun
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errMoved):
		x.e.stats.moved.Inc(1)
		return attemptResult{ran: true, budgetTaken: true, reason: a.watchdog.reason}
	case ctx.Err() == nil || !ran:
		a.target.recordUnreachable(time.Now())
	}
	x.e.opts.Logger.Debug("attempt failed", zap.String("request", x.request.ID), zap.String("upstream", a.target.upstream.ID), zap.Error(err))
	if ctx.Err() != nil {
		return attemptResult{ran: ran, reason: cause.Error()}
	}
	return attemptResult{ran: ran, unreachable: !ran, broken: ran, retryAfter: notRunRetryAfter, reason: errorCode(err) + ": " + err.Error()}
}

func (x *exchange) buildRequest(ctx context.Context, a *upstreamAttempt) (*http.Request, error) {
	t := a.target
	req, err := http.NewRequestWithContext(ctx, x.r.Method, "http://"+t.upstream.Address+x.r.URL.RequestURI(), x.body.Reader())
	if err != nil {
		return nil, err
	}
	upstream.KeepRequestURI(req.URL, x.r.RequestURI)
	// Without GetBody the transport cannot replay the body on its own.
	req.GetBody = nil
	req.ContentLength = x.body.Size()
	if req.ContentLength == 0 {
		req.Body = http.NoBody
	}
	req.Host = x.r.Host
	req.Header = endToEnd(x.r.Header)
	if req.Header.Get("User-Agent") == "" {
		// Prevents the transport from adding its own.
		req.Header.Set("User-Agent", "")
	}
	attempt := AttemptHeaders{Upstream: t.upstream.ID, Remaining: time.Until(x.deadline), Priority: x.priority, Deferred: a.deferred, ResumePosition: x.request.ResumePosition}
	if x.account != nil {
		attempt.Account = x.account.Name
	}
	if position := x.position.Load(); position >= 0 {
		attempt.ResumePosition = position
	}
	x.e.opts.Protocol.WriteAttempt(req.Header, attempt)
	return req, nil
}

// endToEnd returns a copy of the headers without the hop-by-hop ones.
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

// relayBuffered relays a response that is not a stream. Up to maxBufferedBytes
// it is buffered until it is complete, so that the request can be retried if
// the response is truncated.
func (x *exchange) relayBuffered(ctx context.Context, a *upstreamAttempt, resp *http.Response) attemptResult {
	t := a.target
	if x.headerWritten {
		// The caller has already received part of a stream, which this response
		// does not continue.
		t.recordFailure(time.Now())
		return attemptResult{ran: true, reason: fmt.Sprintf("upstream answered %d to a resumed stream", resp.StatusCode)}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err == nil && len(body) <= maxBufferedBytes {
		err = x.checkEnd(t, resp)
	}
	if err != nil {
		t.recordFailure(time.Now())
		if ctx.Err() != nil {
			return attemptResult{ran: true, reason: context.Cause(ctx).Error()}
		}
		return attemptResult{ran: true, broken: true, reason: "answer cut off: " + err.Error()}
	}
	if len(body) > maxBufferedBytes {
		t.recordSuccess()
		x.writeHeader(resp.StatusCode, resp.Header, resp.ContentLength)
		return x.relayLarge(t, body, resp)
	}
	response := &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		if !a.paused {
			t.recordFailure(time.Now())
		}
		return attemptResult{ran: true, response: response, reason: fmt.Sprintf("upstream answered %d", resp.StatusCode)}
	}
	t.recordSuccess()
	if a.expectedWait == 0 {
		x.e.baselines.add(x.service.Name, "", time.Since(a.started))
	}
	x.writeResponse(response)
	return attemptResult{done: true}
}

// errBodyCutOff is returned for a body that ends with its connection because the
// upstream has ended.
var errBodyCutOff = errors.New("the upstream ended with the connection")

// checkEnd returns an error if a response that ended with its connection is not
// complete. The connections of a process that ends are closed like those of one
// that has sent everything.
func (x *exchange) checkEnd(t *target, resp *http.Response) error {
	if !upstream.Framed(resp) && x.e.hasCrashed(t) {
		return errBodyCutOff
	}
	return nil
}

// relayLarge relays a response that exceeds the buffer. Its header has been
// written, so that a truncated response also aborts the caller's connection.
func (x *exchange) relayLarge(t *target, start []byte, resp *http.Response) attemptResult {
	_, err := io.Copy(x.w, io.MultiReader(bytes.NewReader(start), resp.Body))
	if err == nil {
		err = x.checkEnd(t, resp)
	}
	if err != nil {
		if x.r.Context().Err() == nil && x.e.hasCrashed(t) {
			x.e.crashes.Crashed(t.incarnation())
		}
		x.outcome, x.reason = outcomeFailed, "answer cut off: "+err.Error()
		panic(http.ErrAbortHandler)
	}
	x.outcome = outcomeServed
	return attemptResult{done: true}
}

// writeResponse sends a buffered response to the caller.
func (x *exchange) writeResponse(response *bufferedResponse) {
	x.writeHeader(response.status, response.header, int64(len(response.body)))
	x.outcome = outcomeServed
	if response.status >= http.StatusInternalServerError {
		x.outcome, x.reason = outcomeFailed, fmt.Sprintf("upstream answered %d", response.status)
	}
	if _, err := x.w.Write(response.body); err != nil {
		x.outcome, x.reason = outcomeAbandoned, err.Error()
	}
}

// writeHeader writes the status and headers of an upstream's response. A
// negative length leaves Content-Length unset.
func (x *exchange) writeHeader(status int, header http.Header, length int64) {
	h := x.w.Header()
	for name, values := range endToEnd(header) {
		h[name] = values
	}
	if length >= 0 && status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", fmt.Sprint(length))
	}
	x.headerWritten, x.firstByte, x.status = true, time.Now(), status
	x.w.WriteHeader(status)
}
