package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/quarantine"
	"github.com/bluebellfield/bluebellfield/settings"
	"github.com/bluebellfield/bluebellfield/upstreamlimit"
)

// errFirstByteTimeout is the cancellation cause of an attempt that received no
// response headers in time.
var errFirstByteTimeout = errors.New("no response within the first-byte timeout")

// errIdleTimeout is the cancellation cause of a stream that received no event in
// time.
var errIdleTimeout = errors.New("no event within the idle timeout")

// errPreempted is the cancellation cause of a free attempt that was stopped in
// favour of a paying request.
var errPreempted = errors.New("preempted by a paying request")

// unforwardedHeaders are the request headers that are not forwarded to upstreams:
// hop-by-hop headers, and headers that the HTTP transport or an upstream would
// act on.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", headerIdempotencyKey, "X-Idempotency-Key", "Expect",
}

// attempt is one dispatch of a request to one upstream.
type attempt struct {
	choice Choice
	resp   *http.Response
	cancel context.CancelCauseFunc
	ctx    context.Context
	span   trace.Span
	// cancelDeadline releases the deadline of an attempt that outlives its
	// caller.
	cancelDeadline context.CancelFunc
	// mayBeReused is set if the connection may have served an earlier request.
	mayBeReused bool
	// reused is set if the connection has served an earlier request.
	reused bool
	// responded is set when the response headers have arrived.
	responded bool
	// firstEvent is the time of the first event of a stream; progressed is set
	// when the choice has been told that the stream is past its start.
	firstEvent time.Time
	progressed bool
	// disablePreemption stops the watch for preemption. When it returns, the
	// attempt either has been preempted or cannot be preempted any more.
	disablePreemption func()
}

// recordEvent records an event of the stream.
func (a *attempt) recordEvent(now time.Time) {
	if a.firstEvent.IsZero() {
		a.firstEvent = now
	}
	if !a.progressed && now.Sub(a.firstEvent) >= quarantine.ProgressTime {
		a.progressed = true
		a.choice.Progressed()
	}
}

// watchPreemption cancels the attempt when preempted is closed, unless the
// engine orders its batch by priority. This includes attempts that are still in
// the engine's queue, since paying requests would queue behind them.
func (a *attempt) watchPreemption(preempted <-chan struct{}) {
	a.disablePreemption = func() {}
	if preempted == nil || a.choice.HonoursPriority() {
		return
	}
	var decided sync.Once
	disabled := make(chan struct{})
	a.disablePreemption = func() { decided.Do(func() { close(disabled) }) }
	go func() {
		select {
		case <-preempted:
			decided.Do(func() { a.cancel(errPreempted) })
		case <-disabled:
		case <-a.ctx.Done():
		}
	}()
}

// preemptionError returns errPreempted with the location and outcome of err if
// the attempt was preempted, and nil otherwise. The upstream may have run the
// request in part.
func (a *attempt) preemptionError(err error) error {
	if !errors.Is(context.Cause(a.ctx), errPreempted) {
		return nil
	}
	return fault.Wrap(errPreempted, fault.UpstreamFailed, fault.LocationOf(err), fault.OutcomeOf(err))
}

// finish releases the resources of the attempt and records its result.
func (a *attempt) finish(result Result) {
	a.cancel(nil)
	a.cancelDeadline()
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	if result.Err != nil {
		a.span.RecordError(result.Err)
	}
	a.span.End()
	a.choice.Finish(result)
}

// fail finishes the attempt with err, classifies the failure for the picker and
// returns err.
func (a *attempt) fail(err error) error {
	cancelled := errors.Is(context.Cause(a.ctx), context.Canceled) || errors.Is(context.Cause(a.ctx), errPreempted)
	notRun := fault.OutcomeOf(err) == fault.NotRun
	a.finish(Result{Err: err, Cancelled: cancelled, NotRun: notRun, Broken: !cancelled && !notRun && isBroken(err)})
	return err
}

// errCutOff is the error of a response that ended with its connection because the
// upstream has ended.
var errCutOff = errors.New("the upstream ended with the connection")

// checkEnd returns an error if a response that ended with its connection is not
// complete. The connections of a process that ends are closed like those of one
// that has sent everything.
func (a *attempt) checkEnd() error {
	framed := upstream.Framed(a.resp)
	if !framed && a.choice.Ended() {
		return errCutOff
	}
	return nil
}

// isBroken reports whether err means that the connection broke, which may be due
// to a crash of the upstream. A timeout does not count.
func isBroken(err error) bool {
	code := fault.CodeOf(err)
	return code == fault.UpstreamFailed || code == fault.UpstreamTruncated
}

// admit waits until admission control lets the request run.
func (x *exchange) admit(ctx context.Context) (Slot, error) {
	ctx, span := x.Tracer.Start(ctx, "admission")
	defer span.End()
	slot, err := x.Admitter.Admit(ctx, &x.info)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeOf(err), fault.Location{Step: StepAdmit, Peer: fault.LocationOf(err).Peer}, fault.NotRun)
	}
	return slot, nil
}

// pick selects the upstream for the next attempt.
func (x *exchange) pick(ctx context.Context) (Choice, error) {
	ctx, span := x.Tracer.Start(ctx, "routing")
	defer span.End()
	choice, err := x.Picker.Pick(ctx, &x.info, x.attempts, x.tried)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		return nil, fault.Wrap(err, fault.CodeOf(err), fault.Location{Step: StepPick}, fault.NotRun)
	}
	if span.IsRecording() {
		span.SetAttributes(attribute.String("upstream", choice.Target().ID), attribute.String("reason", choice.Reason()))
	}
	return choice, nil
}

// send starts the next attempt and waits for the response headers. The attempt
// is cancelled when preempted is closed, until disablePreemption is called.
func (x *exchange) send(ctx context.Context, resume *upstream.Resume, once bool, preempted <-chan struct{}) (*attempt, error) {
	if err := ctx.Err(); err != nil {
		return nil, fault.Wrap(err, contextErrorCode(err), fault.Location{Step: StepPick}, fault.NotRun)
	}
	x.attempts++
	choice, err := x.pick(ctx)
	if err != nil {
		return nil, err
	}
	target := choice.Target()
	x.tried = append(x.tried, target.ID)
	x.finished.Upstream = target.ID
	a := &attempt{choice: choice, cancelDeadline: func() {}}
	spanCtx, span := x.Tracer.Start(ctx, "dispatch", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("upstream", target.ID), attribute.Int("attempt", x.attempts)))
	a.span = span
	if choice.OutlivesCaller() {
		detached, cancelDeadline := context.WithDeadline(context.WithoutCancel(spanCtx), x.info.Deadline)
		bound, unbind := x.stop.Bind(detached)
		spanCtx, a.cancelDeadline = bound, func() {
			unbind()
			cancelDeadline()
		}
	}
	a.ctx, a.cancel = context.WithCancelCause(spanCtx)
	a.watchPreemption(preempted)
	timer := time.AfterFunc(x.info.Route.FirstByteTimeout, func() { a.cancel(errFirstByteTimeout) })
	defer timer.Stop()
	a.mayBeReused = !once && x.mayReuse(target)
	traced := httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.reused = info.Reused }})
	a.resp, err = x.Client.Do(traced, upstream.Dispatch{
		Target: target, Method: x.r.Method, URI: requestURI(x.r), Header: x.upstreamHeader(), Body: x.body,
		RequestID: x.info.RequestID, Attempt: x.attempts, Priority: string(x.info.Account.Class), Resume: resume, Once: !a.mayBeReused,
	})
	if err != nil {
		if preemption := a.preemptionError(err); preemption != nil {
			return nil, a.fail(preemption)
		}
		return nil, a.fail(timeoutError(a.ctx, err))
	}
	a.responded = true
	err = x.checkResponse(a)
	if err == nil || a.resp.Header.Get(upstream.HeaderRequestID) == x.info.RequestID {
		choice.NamedLimit(upstreamlimit.ParseRate(a.resp.Header.Get(upstream.HeaderRequestLimit)))
		if upstreamlimit.ParseLeaving(a.resp.Header.Get(upstream.HeaderLeaving)) {
			choice.Leaving()
		}
		if pause, ok := upstreamlimit.ParsePause(time.Now(), a.resp.Header); ok && a.resp.StatusCode == http.StatusServiceUnavailable {
			choice.Pause(pause)
		}
	}
	if err != nil {
		return nil, a.fail(err)
	}
	choice.FirstByte()
	return a, nil
}

// requestURI returns the path and query of a request as they were sent.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// contextErrorCode returns the fault code for the error of a request's context.
func contextErrorCode(err error) fault.Code {
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.DeadlineExceeded
	}
	return fault.Unavailable
}

// timeoutError returns errFirstByteTimeout in place of err when the first-byte
// timeout cancelled the attempt.
func timeoutError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errFirstByteTimeout) {
		return fault.Wrap(errFirstByteTimeout, fault.DeadlineExceeded, fault.LocationOf(err), fault.OutcomeOf(err))
	}
	return err
}

// upstreamHeader returns the caller's headers without those that must not be
// forwarded.
func (x *exchange) upstreamHeader() http.Header {
	header := x.r.Header.Clone()
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		header.Del(strings.TrimSpace(name))
	}
	key := header.Get(headerIdempotencyKey)
	for name := range header {
		if strings.HasPrefix(name, "Bluebell-") {
			delete(header, name)
		}
	}
	for _, name := range unforwardedHeaders {
		header.Del(name)
	}
	for _, name := range x.info.Route.DropHeaders {
		header.Del(name)
	}
	if key != "" && x.info.Route.ForwardKey {
		header.Set(upstream.HeaderForwardedKey, key)
	}
	return header
}

// checkResponse returns an error for a response that belongs to another request,
// proves that the request did not start, or has a gateway error status.
func (x *exchange) checkResponse(a *attempt) error {
	at := fault.Location{Step: upstream.StepDispatch, Peer: a.choice.Target().ID}
	status := a.resp.StatusCode
	if err := x.checkIdentity(a, at); err != nil {
		return err
	}
	if x.info.Route.Kind == membership.ModelEngine && a.resp.Header.Get(upstream.HeaderNotStarted) == "true" {
		return fault.New(fault.UpstreamUnreachable, at, fault.NotRun, "the upstream rejected the request before starting it")
	}
	if slices.ContainsFunc(x.info.Route.NotStarted, func(p settings.NotStartedResponse) bool {
		return p.Status == status && (p.Header == "" || a.resp.Header.Get(p.Header) == p.Value)
	}) {
		return fault.New(fault.UpstreamUnreachable, at, fault.NotRun, fmt.Sprintf("the upstream rejected the request with status %d", status))
	}
	if status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout {
		return fault.New(fault.UpstreamUnreachable, at, fault.Unknown, fmt.Sprintf("the upstream returned status %d", status))
	}
	return nil
}

// checkIdentity verifies that a response belongs to this request. Refusals and
// errors are checked like answers: on a kept connection each may be a late copy.
func (x *exchange) checkIdentity(a *attempt, at fault.Location) error {
	if x.info.Route.Kind == membership.PlainService {
		return x.checkEcho(a, at)
	}
	return x.checkCorrelation(a, at)
}

// checkEcho verifies that a plain service echoed the request id, if it echoes ids
// at all. On a connection that has served an earlier request, an answer without
// the id may be a late copy of the earlier answer.
func (x *exchange) checkEcho(a *attempt, at fault.Location) error {
	id := a.resp.Header.Get(upstream.HeaderRequestID)
	if id == x.info.RequestID {
		x.echoing.add(a.choice.Target().ID)
		return nil
	}
	if id == "" && !a.mayBeReused {
		return nil
	}
	x.echoing.remove(a.choice.Target().ID)
	return fault.New(fault.UpstreamProtocol, at, fault.Unknown, "the response belongs to another request")
}

// mayReuse reports whether a request may use a connection that has served others:
// late copies of their answers must be recognizable.
func (x *exchange) mayReuse(target upstream.Target) bool {
	return x.info.Route.Kind == membership.ModelEngine || x.echoing.contains(target.ID)
}

// checkCorrelation verifies that the engine echoed the request id and the attempt
// number. A refusal or an error may lack both on a connection that has served no
// other request.
func (x *exchange) checkCorrelation(a *attempt, at fault.Location) error {
	id, number := a.resp.Header.Get(upstream.HeaderRequestID), a.resp.Header.Get(upstream.HeaderAttempt)
	if id == x.info.RequestID && number == strconv.Itoa(x.attempts) {
		return nil
	}
	if id == "" && number == "" && a.resp.StatusCode >= http.StatusBadRequest && !a.reused {
		return nil
	}
	return fault.New(fault.UpstreamProtocol, at, fault.Unknown, "the response belongs to another request or attempt")
}

// retry waits for the backoff before another attempt. It returns err when no
// further attempt is allowed.
func (x *exchange) retry(ctx context.Context, err error) error {
	outcome := fault.OutcomeOf(err)
	if !x.info.Route.Idempotent && outcome != fault.NotRun || fault.CodeOf(err) == fault.ResponseTooLarge {
		return err
	}
	delay, ok := x.Retrier.Next(&x.info, x.attempts, outcome)
	if !ok {
		return err
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return err
	}
}

// yield gives up the slot after a preemption and waits to be admitted again.
// previous is the combined error of the attempts so far.
func (x *exchange) yield(ctx context.Context, slot Slot, previous error) error {
	if err := slot.Yield(ctx); err != nil {
		return mergeOutcome(previous, err)
	}
	return nil
}

// mergeOutcome returns current with the outcome of previous if only previous may
// have run: once an attempt may have run, the request may have run.
func mergeOutcome(previous, current error) error {
	if previous == nil || fault.OutcomeOf(current) != fault.NotRun || fault.OutcomeOf(previous) == fault.NotRun {
		return current
	}
	return fault.Wrap(current, fault.CodeOf(current), fault.LocationOf(current), fault.OutcomeOf(previous))
}
