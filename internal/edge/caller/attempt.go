package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/settings"
)

// errFirstByte is the cause of a cancelled attempt that got no answer in time.
var errFirstByte = errors.New("no answer within the first-byte timeout")

// errStalled is the cause of a cancelled stream that brought no event in time.
var errStalled = errors.New("no event within the idle timeout")

// errPreempted is the cause of an attempt cancelled for paying work.
var errPreempted = errors.New("preempted by paying work")

// hopHeaders are not passed on: they concern one connection, or would make the
// transport or an upstream act on them.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", headerIdempotencyKey, "X-Idempotency-Key", "Expect",
}

// try is one attempt of a request at one upstream.
type try struct {
	choice Choice
	resp   *http.Response
	cancel context.CancelCauseFunc
	ctx    context.Context
	span   trace.Span
	// release frees the deadline of an attempt that outlives its caller.
	release context.CancelFunc
	// sent is false while no byte can have reached the upstream.
	sent bool
	// keep ends the watch for preemption. When it returns, the attempt was
	// cancelled or will not be.
	keep func()
}

// watch cancels the attempt when paying work needs its place and the engine
// does not order its batch by priority. A request that waits in the engine's
// queue gives way as well: paying work would queue behind it.
func (t *try) watch(preempted <-chan struct{}) {
	t.keep = func() {}
	if preempted == nil || t.choice.HonoursPriority() {
		return
	}
	var decided sync.Once
	kept := make(chan struct{})
	t.keep = func() { decided.Do(func() { close(kept) }) }
	go func() {
		select {
		case <-preempted:
			decided.Do(func() { t.cancel(errPreempted) })
		case <-kept:
		case <-t.ctx.Done():
		}
	}()
}

// gaveWay returns the error of an attempt that was cancelled for paying work,
// nil for one that ended otherwise. The upstream may have run it in part.
func (t *try) gaveWay(err error) error {
	if !errors.Is(context.Cause(t.ctx), errPreempted) {
		return nil
	}
	return fault.Wrap(errPreempted, fault.UpstreamFailed, fault.Location(err), fault.OutcomeOf(err))
}

// end closes the attempt and reports its result.
func (t *try) end(result Result) {
	t.cancel(nil)
	t.release()
	if t.resp != nil {
		_ = t.resp.Body.Close()
	}
	if result.Err != nil {
		t.span.RecordError(result.Err)
	}
	t.span.End()
	t.choice.Finish(result)
}

// fail closes the attempt with an error and returns it with the upstream named.
func (t *try) fail(err error) error {
	cancelled := errors.Is(context.Cause(t.ctx), context.Canceled) || errors.Is(context.Cause(t.ctx), errPreempted)
	notSent := fault.OutcomeOf(err) == fault.NotRun
	t.end(Result{Err: err, Cancelled: cancelled, NotSent: notSent, Broken: !cancelled && !notSent && isBroken(err)})
	return err
}

// isBroken reports whether the connection broke, as it does when the upstream
// crashes. A timeout is not a crash.
func isBroken(err error) bool {
	code := fault.CodeOf(err)
	return code == fault.UpstreamFailed || code == fault.UpstreamTruncated
}

// admit waits for the right to run.
func (x *exchange) admit(ctx context.Context) (Slot, error) {
	ctx, span := x.Tracer.Start(ctx, "admission")
	defer span.End()
	slot, err := x.Admitter.Admit(ctx, &x.work)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeOf(err), fault.At{Step: StepAdmit, Peer: fault.Location(err).Peer}, fault.NotRun)
	}
	return slot, nil
}

// pick chooses the upstream of the next attempt.
func (x *exchange) pick(ctx context.Context) (Choice, error) {
	ctx, span := x.Tracer.Start(ctx, "routing")
	defer span.End()
	choice, err := x.Picker.Pick(ctx, &x.work, x.attempt, x.tried)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeOf(err), fault.At{Step: StepPick}, fault.NotRun)
	}
	if span.IsRecording() {
		span.SetAttributes(attribute.String("upstream", choice.Target().ID), attribute.String("reason", choice.Reason()))
	}
	return choice, nil
}

// send starts the next attempt and waits for the response headers.
// Until keep is called, it is cancelled when preempted is closed.
func (x *exchange) send(ctx context.Context, resume *upstream.Resume, once bool, preempted <-chan struct{}) (*try, error) {
	if err := ctx.Err(); err != nil {
		return nil, fault.Wrap(err, endedCode(err), fault.At{Step: StepPick}, fault.NotRun)
	}
	x.attempt++
	choice, err := x.pick(ctx)
	if err != nil {
		return nil, err
	}
	target := choice.Target()
	x.tried = append(x.tried, target.ID)
	x.finished.Upstream = target.ID
	t := &try{choice: choice, release: func() {}}
	spanCtx, span := x.Tracer.Start(ctx, "dispatch", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("upstream", target.ID), attribute.Int("attempt", x.attempt)))
	t.span = span
	if choice.OutlivesCaller() {
		spanCtx, t.release = context.WithDeadline(context.WithoutCancel(spanCtx), x.work.Deadline)
	}
	t.ctx, t.cancel = context.WithCancelCause(spanCtx)
	t.watch(preempted)
	timer := time.AfterFunc(x.work.Route.FirstByteTimeout, func() { t.cancel(errFirstByte) })
	defer timer.Stop()
	t.resp, err = x.Client.Do(t.ctx, upstream.Dispatch{
		Target: target, Method: x.r.Method, URI: x.r.URL.RequestURI(), Header: x.upstreamHeader(), Body: x.body,
		RequestID: x.work.RequestID, Attempt: x.attempt, Priority: string(x.work.Account.Class), Resume: resume, Once: once,
	})
	if err != nil {
		if preemption := t.gaveWay(err); preemption != nil {
			return nil, t.fail(preemption)
		}
		return nil, t.fail(timeoutError(t.ctx, err))
	}
	t.sent = true
	if err := x.checkResponse(t); err != nil {
		return nil, t.fail(err)
	}
	choice.FirstByte()
	return t, nil
}

// endedCode is the code of an error of a request's context.
func endedCode(err error) fault.Code {
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.DeadlineExceeded
	}
	return fault.Unavailable
}

// timeoutError names the first-byte timeout as the reason of a failed attempt.
func timeoutError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errFirstByte) {
		return fault.Wrap(errFirstByte, fault.DeadlineExceeded, fault.Location(err), fault.OutcomeOf(err))
	}
	return err
}

// upstreamHeader copies the caller's headers without those of one connection.
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
	for _, name := range hopHeaders {
		header.Del(name)
	}
	for _, name := range x.work.Route.DropHeaders {
		header.Del(name)
	}
	if key != "" && x.work.Route.ForwardKey {
		header.Set(upstream.HeaderForwardedKey, key)
	}
	return header
}

// checkResponse refuses a response that belongs to another request, proves
// that the request did not start, or fails.
func (x *exchange) checkResponse(t *try) error {
	at := fault.At{Step: upstream.StepDispatch, Peer: t.choice.Target().ID}
	status := t.resp.StatusCode
	if x.work.Route.Kind == membership.ModelEngine && t.resp.Header.Get(upstream.HeaderNotStarted) == "true" {
		return fault.New(fault.UpstreamUnreachable, at, fault.NotRun, "the upstream refused the request before starting it")
	}
	if slices.ContainsFunc(x.work.Route.NotStarted, func(p settings.Proof) bool {
		return p.Status == status && (p.Header == "" || t.resp.Header.Get(p.Header) == p.Value)
	}) {
		return fault.New(fault.UpstreamUnreachable, at, fault.NotRun, fmt.Sprintf("the upstream refused the request with status %d", status))
	}
	if status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout {
		return fault.New(fault.UpstreamUnreachable, at, fault.Unknown, fmt.Sprintf("the upstream answered %d", status))
	}
	if x.work.Route.Kind == membership.ModelEngine && status < http.StatusBadRequest {
		return x.checkCorrelation(t, at)
	}
	return nil
}

func (x *exchange) checkCorrelation(t *try, at fault.At) error {
	header := t.resp.Header
	if header.Get(upstream.HeaderRequestID) == x.work.RequestID && header.Get(upstream.HeaderAttempt) == strconv.Itoa(x.attempt) {
		return nil
	}
	return fault.New(fault.UpstreamProtocol, at, fault.Unknown, "the answer belongs to another request or attempt")
}

// retry waits before another attempt, or returns the error to answer with.
func (x *exchange) retry(ctx context.Context, err error) error {
	outcome := fault.OutcomeOf(err)
	if !x.work.Route.Idempotent && outcome != fault.NotRun || fault.CodeOf(err) == fault.ResponseTooLarge {
		return err
	}
	delay, ok := x.Retrier.Next(&x.work, x.attempt, outcome)
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

// yield waits for the right to run again after the attempts before, of which
// the last one gave way to paying work.
func (x *exchange) yield(ctx context.Context, slot Slot, before error) error {
	if err := slot.Yield(ctx); err != nil {
		return earlier(before, err)
	}
	return nil
}

// earlier combines the outcome of a failed attempt with those before it: once
// an attempt may have run, the request may have run.
func earlier(before, now error) error {
	if before == nil || fault.OutcomeOf(now) != fault.NotRun || fault.OutcomeOf(before) == fault.NotRun {
		return now
	}
	return fault.Wrap(now, fault.CodeOf(now), fault.Location(now), fault.OutcomeOf(before))
}
