package caller

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/edge/bodybudget"
	"github.com/bluebellfield/bluebellfield/internal/edge/callerconn"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/membership"
)

// Options configures a Handler.
type Options struct {
	Deps
	Logger *zap.Logger
	Tracer trace.Tracer
	// Observe is called for each finished request. It may be nil.
	Observe func(Finished)
	// BodyTimeout limits how long reading a request body may take. Zero means
	// defaultBodyTimeout.
	BodyTimeout time.Duration
	// Bodies bounds the memory of request bodies. Nil means no limit.
	Bodies *bodybudget.Budget
}

// defaultBodyTimeout is enough for the largest body, 16 MiB, at 280 KB/s.
const defaultBodyTimeout = time.Minute

// Finished describes a completed request, successful or not.
type Finished struct {
	RequestID string
	Account   Account
	Service   string
	Upstream  string
	Status    int
	Outcome   fault.Outcome
	Attempts  int
	Duration  time.Duration
	// FirstByte is the time to the first byte of the response, 0 if there was
	// none.
	FirstByte time.Duration
	Tokens    int
	Err       error
}

// Handler is the HTTP handler for callers. It tracks the requests in flight so
// that the daemon can drain them.
type Handler struct {
	Options
	draining atomic.Bool
	mu       sync.Mutex
	inFlight int
	// drained is closed when Drain was called and no request is in flight.
	drained chan struct{}
	stop    *callerconn.Stop
	// echoing holds the plain services that echo request ids.
	echoing upstreamSet
	// parsing holds a value for each large chat that is being parsed.
	parsing chan struct{}
}

// NewHandler returns a Handler with defaults filled in.
func NewHandler(o Options) *Handler {
	if o.Observe == nil {
		o.Observe = func(Finished) {}
	}
	o.BodyTimeout = cmp.Or(o.BodyTimeout, defaultBodyTimeout)
	return &Handler{Options: o, stop: callerconn.NewStop(), parsing: make(chan struct{}, maxLargeParses)}
}

// maxUpstreamSet limits the size of an upstreamSet. A deployment has fewer plain
// services at a time.
const maxUpstreamSet = 4096

// upstreamSet is a bounded set of upstream ids. It is safe for concurrent use.
type upstreamSet struct {
	mu  sync.Mutex
	ids map[string]bool
}

// add adds an id. A full set is emptied first.
func (s *upstreamSet) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids == nil || len(s.ids) >= maxUpstreamSet {
		s.ids = map[string]bool{}
	}
	s.ids[id] = true
}

func (s *upstreamSet) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ids, id)
}

func (s *upstreamSet) contains(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[id]
}

// exchange is the state of one request and its response.
type exchange struct {
	*Handler
	w        http.ResponseWriter
	r        *http.Request
	info     RequestInfo
	body     *bodybudget.Body
	chat     chatRequest
	started  time.Time
	finished Finished
	// tried lists the ids of the upstreams of all attempts so far.
	tried []string
	// attempts counts the attempts, including the current one.
	attempts int
	// wroteHeader is set once the response headers have been written.
	wroteHeader bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	requestID := newRequestID()
	callerconn.WaitForBody(r)
	if !h.beginRequest() {
		err := fault.New(fault.Draining, fault.Location{Step: StepRead}, fault.NotRun, "this entry instance is shutting down")
		w.Header().Set("Connection", "close")
		callerconn.LimitUnreadBody(w, r)
		writeError(w, requestID, err)
		return
	}
	defer h.endRequest()
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := h.Tracer.Start(ctx, "caller", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("request.id", requestID), attribute.String("http.path", r.URL.Path)))
	defer span.End()
	x := &exchange{Handler: h, w: w, r: r.WithContext(ctx), started: time.Now()}
	x.info.RequestID = requestID
	x.finished = Finished{RequestID: requestID, Outcome: fault.Ran}
	defer x.finish(span)
	if err := x.serve(ctx); err != nil {
		x.fail(err)
	}
}

// Drain makes the handler reject new requests. The returned channel is closed
// when no request is in flight.
func (h *Handler) Drain() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining.Store(true)
	if h.drained == nil {
		h.drained = make(chan struct{})
		if h.inFlight == 0 {
			close(h.drained)
		}
	}
	return h.drained
}

// CancelRequests cancels the requests in flight, so that their callers get an
// answer before the process ends.
func (h *Handler) CancelRequests() { h.stop.CancelRequests() }

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inFlight
}

// beginRequest counts a request as in flight. It returns false once the
// handler is draining.
func (h *Handler) beginRequest() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining.Load() {
		return false
	}
	h.inFlight++
	return true
}

func (h *Handler) endRequest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	if h.inFlight == 0 && h.drained != nil {
		close(h.drained)
	}
}

// serve handles the request. It returns the error to report to the caller, if
// any.
func (x *exchange) serve(ctx context.Context) error {
	if err := x.authenticate(); err != nil {
		return err
	}
	if err := x.readBody(ctx); err != nil {
		return err
	}
	defer x.body.Release()
	if err := x.parseChat(ctx); err != nil {
		return err
	}
	if err := x.resolveRoute(); err != nil {
		return err
	}
	if err := x.Quarantine.Check(&x.info); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, x.info.Deadline)
	defer cancel()
	ctx, unbind := x.stop.Bind(ctx)
	defer unbind()
	defer x.setWriteDeadline()()
	if !x.info.Route.Idempotent {
		return x.serveAtMostOnce(ctx)
	}
	if x.info.Route.Kind == membership.ModelEngine && x.chat.Stream {
		return x.serveStream(ctx)
	}
	return x.serveUnary(ctx)
}

// writeGrace is how long after the request's deadline an error response can
// still be written.
const writeGrace = time.Second

// setWriteDeadline prevents a caller that does not read its response from
// holding the request and its slot on an upstream past the deadline. The
// returned function clears the deadline for the next request on the connection.
func (x *exchange) setWriteDeadline() (reset func()) {
	out := http.NewResponseController(x.w)
	_ = out.SetWriteDeadline(x.info.Deadline.Add(writeGrace))
	return func() { _ = out.SetWriteDeadline(time.Time{}) }
}

func (x *exchange) authenticate() error {
	key, _ := strings.CutPrefix(x.r.Header.Get("Authorization"), "Bearer ")
	account, err := x.Policy.Account(key)
	if err != nil {
		code := fault.Unauthorized
		if fault.CodeOf(err) == fault.Unavailable {
			code = fault.Unavailable
		}
		return fault.Wrap(err, code, fault.Location{Step: StepAuthenticate}, fault.NotRun)
	}
	x.info.Account = account
	x.finished.Account = account
	return nil
}

// noBodyMemoryRetryAfter is the delay after which a caller may send a body again that
// did not fit into the memory for bodies. Large bodies take some seconds to arrive.
const noBodyMemoryRetryAfter = time.Second

// readBody reads the body of the request.
func (x *exchange) readBody(ctx context.Context) error {
	limit := x.Policy.MaxBodyBytes()
	in := http.NewResponseController(x.w)
	end := time.Now().Add(x.BodyTimeout)
	_ = in.SetReadDeadline(end)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	body, err := x.Bodies.Read(ctx, x.r.Body, bodybudget.Options{Declared: x.r.ContentLength, Limit: limit, Account: x.info.Account.ID,
		Interrupt: func() { _ = in.SetReadDeadline(time.Now()) },
		Bulk:      func() { callerconn.ReceiveBulk(ctx) }, BulkBytes: callerconn.BulkBytes, BulkBuffer: callerconn.BulkBuffer})
	if err != nil {
		x.w.Header().Set("Connection", "close")
		return bodyError(err, limit)
	}
	callerconn.BodyArrived(ctx)
	_ = in.SetReadDeadline(time.Time{})
	x.body = body
	return nil
}

func bodyError(err error, limit int64) error {
	at := fault.Location{Step: StepRead}
	switch {
	case errors.Is(err, bodybudget.ErrTooLarge):
		return fault.New(fault.BodyTooLarge, at, fault.NotRun, fmt.Sprintf("the body exceeds %d bytes", limit))
	case errors.Is(err, bodybudget.ErrFull):
		return fault.WithRetryAfter(fault.Wrap(err, fault.Unavailable, at, fault.NotRun), noBodyMemoryRetryAfter)
	}
	return fault.Wrap(err, fault.BadRequest, at, fault.NotRun)
}

func (x *exchange) resolveRoute() error {
	at := fault.Location{Step: StepRoute}
	route, err := x.Policy.Route(x.info.Account, x.r.Method, x.r.URL.Path, x.info.Model)
	if err != nil {
		return fault.Wrap(err, fault.NotFound, at, fault.NotRun)
	}
	if x.body.Size() > route.MaxBodyBytes {
		return fault.New(fault.BodyTooLarge, at, fault.NotRun, fmt.Sprintf("the body exceeds %d bytes", route.MaxBodyBytes))
	}
	if n := callerconn.HeaderBytes(x.r.Header); n > route.MaxHeaderBytes {
		return fault.New(fault.HeaderTooLarge, at, fault.NotRun, fmt.Sprintf("the headers exceed %d bytes", route.MaxHeaderBytes))
	}
	x.info.Route = route
	x.info.Deadline = x.started.Add(route.Timeout)
	x.info.Digest = digest(x.info.Account.ID, route.Service, x.r.Method, x.r.URL.RequestURI(), x.body.Chunks())
	x.finished.Service = route.Service
	return nil
}

// digest hashes the contents of a request: account, service, method, URI and
// body. It does not depend on the request id.
func digest(account, service, method, uri string, body [][]byte) [32]byte {
	sum := sha256.New()
	for _, part := range []string{account, service, method, uri} {
		fmt.Fprintf(sum, "%d:%s,", len(part), part)
	}
	for _, chunk := range body {
		sum.Write(chunk)
	}
	return [32]byte(sum.Sum(nil))
}

// fail reports err to the caller: as an error response, or by aborting the
// connection when the response has already started.
func (x *exchange) fail(err error) {
	x.finished.Err = err
	x.finished.Outcome = fault.OutcomeOf(err)
	x.finished.Status = fault.Status(fault.CodeOf(err))
	if !x.wroteHeader {
		if x.body == nil {
			callerconn.LimitUnreadBody(x.w, x.r)
		}
		writeError(x.w, x.info.RequestID, err)
		x.wroteHeader = true
		return
	}
	if x.chat.Stream {
		_, _ = x.w.Write(errorEvent(x.info.RequestID, err))
		_ = http.NewResponseController(x.w).Flush()
	}
	x.abort()
}

// abort closes the connection without ending the response. Otherwise net/http
// would terminate a truncated chunked response as if it were complete.
func (x *exchange) abort() { panic(http.ErrAbortHandler) }

// finish logs, traces and observes the completed request.
func (x *exchange) finish(span trace.Span) {
	f := &x.finished
	f.Attempts = x.attempts
	f.Duration = time.Since(x.started)
	span.SetAttributes(attribute.String("account", f.Account.ID), attribute.String("service", f.Service),
		attribute.String("upstream", f.Upstream), attribute.String("outcome", string(f.Outcome)))
	fields := []zap.Field{
		zap.String("request", f.RequestID), zap.String("account", f.Account.ID), zap.String("service", f.Service),
		zap.String("upstream", f.Upstream), zap.String("outcome", string(f.Outcome)), zap.Int("status", f.Status),
		zap.Int("attempts", f.Attempts), zap.Duration("duration", f.Duration),
	}
	if f.Err != nil {
		at := fault.LocationOf(f.Err)
		span.SetStatus(codes.Error, f.Err.Error())
		x.Logger.Info("request failed", append(fields, zap.Error(f.Err), zap.String("step", at.Step), zap.String("peer", at.Peer))...)
	} else {
		x.Logger.Debug("request served", fields...)
	}
	x.Observe(*f)
}

func newRequestID() string {
	var id [16]byte
	// crypto/rand.Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
