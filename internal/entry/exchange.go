package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/bluebellfield/bluebellfield/balance"
	"github.com/bluebellfield/bluebellfield/catalog"
	"github.com/bluebellfield/bluebellfield/internal/fault"
)

const (
	// defaultMaxBody bounds a body before limits are configured.
	defaultMaxBody = 4 << 20
	// extraSends bounds the sends of a request that upstreams refuse to run,
	// beyond the route's attempts.
	extraSends = 1
	// maxUnsent bounds the upstreams without a listener that one request tries.
	// After a lost failure domain a third of those that are known may be gone.
	maxUnsent = 3
	// usualServiceTime is assumed of plain services before any was measured.
	usualServiceTime = 50 * time.Millisecond
	// leastRemaining is the least time for which another send is worth while.
	leastRemaining = 50 * time.Millisecond
)

// exchange is one request of a caller.
type exchange struct {
	e       *Entry
	w       http.ResponseWriter
	r       *http.Request
	view    *view
	random  *rand.Rand
	started time.Time

	request  Request
	route    *catalog.Route
	account  *catalog.Account
	service  *catalog.Service
	priority int
	body     []byte
	deadline time.Time
	// elapsed is the time that the caller spent in earlier attempts.
	elapsed time.Duration

	sends []sendRecord
	tried map[*target]bool
	// runs counts the sends that may have run, unsent those that reached no
	// upstream.
	runs      int
	unsent    int
	position  int64
	begun     bool
	firstByte time.Time
	// lastEvent and longestGap describe the pauses of a stream.
	lastEvent  time.Time
	longestGap time.Duration
	status     int
	outcome    string
	reason     string
}

// sendRecord describes one send for the log.
type sendRecord struct {
	upstream, group, result string
	at, took                time.Duration
	load                    float64
	deferred                bool
	events                  int
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (s sendRecord) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("upstream", s.upstream)
	if s.group != "" {
		enc.AddString("group", s.group)
	}
	enc.AddString("result", s.result)
	enc.AddInt64("atMs", s.at.Milliseconds())
	enc.AddInt64("ms", s.took.Milliseconds())
	enc.AddFloat64("load", float64(int(s.load*10))/10)
	if s.deferred {
		enc.AddBool("deferred", true)
	}
	if s.events > 0 {
		enc.AddInt("events", s.events)
	}
	return nil
}

type sendRecords []sendRecord

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (s sendRecords) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for _, r := range s {
		if err := enc.AppendObject(r); err != nil {
			return err
		}
	}
	return nil
}

// Outcomes of an exchange, for logs and counters.
const (
	outcomeServed    = "served"
	outcomeRefused   = "refused"
	outcomeFailed    = "failed"
	outcomeRejected  = "rejected"
	outcomeAbandoned = "abandoned by the caller"
)

func (x *exchange) serve() {
	if !x.resolve() || !x.readBody() {
		return
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.e.demand.add(x.service.Name, &x.request)
	x.tried = map[*target]bool{}
	x.runAttempts(ctx)
}

// resolve finds the route, the account and the service of the request.
func (x *exchange) resolve() bool {
	request, err := x.e.o.Protocol.ParseRequest(x.r)
	x.request = request
	if x.view == nil || x.view.catalog == nil {
		return x.refuse(http.StatusServiceUnavailable, notConfiguredRetry, "no catalog is in force")
	}
	if err != nil {
		return x.reject(http.StatusBadRequest, err.Error())
	}
	content := x.view.catalog
	x.route = content.Route(hostOf(x.r.Host), x.r.URL.Path)
	if x.route == nil {
		return x.reject(http.StatusNotFound, "no route")
	}
	x.priority = x.route.Priority
	if content.RequiresKey(x.route) {
		x.account = content.Account(request.Key)
		if x.account == nil {
			return x.reject(http.StatusUnauthorized, "unknown key")
		}
	} else if request.Key != "" {
		x.account = content.Account(request.Key)
	}
	if x.account != nil && x.account.HasPriority {
		x.priority = x.account.Priority
	}
	x.service = content.Service(x.route.Target(x.random.Float64()))
	x.elapsed = x.e.usual.elapsed(x.route.Name, request.Patience)
	x.deadline = x.started.Add(x.route.Timeout)
	if d := x.started.Add(request.Patience); request.Patience > 0 && d.Before(x.deadline) {
		x.deadline = d
	}
	return true
}

// notConfiguredRetry is when callers may return to an entry that has just
// started: it gets the catalog within some milliseconds of its first contact.
const notConfiguredRetry = 300 * time.Millisecond

func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func (x *exchange) readBody() bool {
	limit := x.view.catalog.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if x.r.ContentLength > int64(limit) {
		return x.reject(http.StatusRequestEntityTooLarge, "body over the limit")
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return x.reject(http.StatusRequestEntityTooLarge, "body over the limit")
	case err != nil:
		x.outcome, x.reason = outcomeAbandoned, fmt.Sprintf("body not read: %v", err)
		panic(http.ErrAbortHandler)
	}
	x.body = body
	return true
}

// runAttempts sends the request until it is answered or given up.
func (x *exchange) runAttempts(ctx context.Context) {
	budget := x.e.budget(x.service.Name)
	budget.first(x.started, &x.e.o.Budget)
	for {
		t, decision := x.choose(time.Now())
		if t == nil {
			x.giveUp(ctx, decision.RetryAfter, decision.Reason)
			return
		}
		result := x.send(ctx, t, decision)
		if result.done {
			return
		}
		if result.held != nil {
			if x.maySendAgain(ctx, result) {
				continue
			}
			x.passOn(result.held)
			return
		}
		if !x.maySendAgain(ctx, result) {
			x.giveUp(ctx, result.retryAfter, result.reason)
			return
		}
	}
}

// choose picks a target for the next send.
func (x *exchange) choose(now time.Time) (*target, balance.Decision) {
	targets := x.candidates()
	candidates := make([]balance.Candidate, len(targets))
	gaps := make([]time.Duration, len(targets))
	for i, t := range targets {
		gaps[i] = t.gap(now)
	}
	slowness := balance.Slowness(gaps)
	for i, t := range targets {
		c := x.estimate(now, t)
		c.Slowness = slowness[i]
		c.Excluded = x.tried[t]
		c.Local = t.upstream.FailureDomain == x.e.o.FailureDomain
		candidates[i] = c
	}
	decision := balance.Choose(x.random, x.costs(), balance.Request{
		PromptTokens: x.request.PromptTokens, AnswerTokens: x.request.expectedAnswer(),
		Remaining: x.remaining(now), Objective: x.route.LatencyObjective - x.elapsed - now.Sub(x.started), Begun: x.runs > 0,
	}, candidates)
	if decision.Index < 0 {
		return nil, decision
	}
	return targets[decision.Index], decision
}

// remaining is the time until the caller gives up. Callers of streams leave when
// no event comes for a while, however long they would wait for the whole.
func (x *exchange) remaining(now time.Time) time.Duration {
	left := x.deadline.Sub(now)
	if x.route.Kind != catalog.Stream || x.route.SilencePatience == 0 {
		return left
	}
	heard := x.started
	if x.lastEvent.After(heard) {
		heard = x.lastEvent
	}
	return min(left, heard.Add(x.route.SilencePatience).Sub(now))
}

// estimate returns what a target runs.
func (x *exchange) estimate(now time.Time, t *target) balance.Candidate {
	slots, occupancy := t.upstream.Slots, usualServiceTime
	if engine := x.service.Engine; engine != nil {
		slots = engine.Slots
		if m := engine.Model(x.request.Model); m != nil {
			occupancy = engine.Occupancy(m, engine.UsualPrompt, engine.UsualAnswer)
		}
	}
	return t.estimate(now, x.view.entries, slots, occupancy)
}

// candidates returns the targets by the newest view: groups are formed again
// while a request is on its way.
func (x *exchange) candidates() []*target {
	v := x.e.view.Load()
	return v.services[x.service.Name].candidates(x.request.Model, x.service.Engine)
}

func (x *exchange) costs() balance.Costs {
	if engine := x.service.Engine; engine != nil {
		if m := engine.Model(x.request.Model); m != nil {
			return balance.EngineCosts{Engine: engine, Model: m, Usual: x.e.usual.get(x.service.Name, m.Name)}
		}
	}
	if usual := x.e.usual.get(x.service.Name, ""); usual > 0 {
		return balance.PlainCosts{ServiceTime: usual}
	}
	return balance.PlainCosts{ServiceTime: usualServiceTime}
}

// maySendAgain reports whether the request may be sent once more, and takes
// that send from the budget.
func (x *exchange) maySendAgain(ctx context.Context, result sendResult) bool {
	if ctx.Err() != nil || time.Until(x.deadline) < leastRemaining {
		return false
	}
	if result.prepaid {
		return true
	}
	if result.ran && (!x.route.MayRepeat() || x.runs >= x.route.MaxAttempts) {
		return false
	}
	if !x.hasAlternative(time.Now()) {
		return false
	}
	if result.unsent {
		// No upstream has more to do because of it.
		x.unsent++
		return x.unsent <= maxUnsent
	}
	if len(x.sends)-x.unsent >= x.route.MaxAttempts+extraSends {
		return false
	}
	if !x.e.budget(x.service.Name).take(time.Now(), &x.e.o.Budget, x.view.entries) {
		return false
	}
	x.e.stats.retried.Inc(1)
	return true
}

// hasAlternative reports whether a target is left that was not tried.
func (x *exchange) hasAlternative(now time.Time) bool {
	for _, t := range x.candidates() {
		if !x.tried[t] && !t.isAvoided(now) {
			return true
		}
	}
	return false
}

// giveUp ends a request without an upstream's answer. Only a request that
// cannot have run is answered with a status that says so.
func (x *exchange) giveUp(ctx context.Context, retryAfter time.Duration, reason string) {
	switch {
	case errors.Is(x.r.Context().Err(), context.Canceled):
		x.outcome, x.reason = outcomeAbandoned, reason
		panic(http.ErrAbortHandler)
	case x.begun:
		x.outcome, x.reason = outcomeFailed, reason
		panic(http.ErrAbortHandler)
	case x.runs == 0:
		x.refuse(http.StatusServiceUnavailable, retryAfter, reason)
	case ctx.Err() != nil:
		x.fail(http.StatusGatewayTimeout, reason)
	default:
		x.fail(http.StatusBadGateway, reason)
	}
}

func (x *exchange) refuse(status int, retryAfter time.Duration, reason string) bool {
	x.outcome, x.reason = outcomeRefused, reason
	x.answer(status, retryAfter, reason)
	return false
}

func (x *exchange) fail(status int, reason string) {
	x.outcome, x.reason = outcomeFailed, reason
	x.answer(status, 0, reason)
}

func (x *exchange) reject(status int, reason string) bool {
	x.outcome, x.reason = outcomeRejected, reason
	x.answer(status, 0, reason)
	return false
}

// answer sends an answer of the entry's own.
func (x *exchange) answer(status int, retryAfter time.Duration, reason string) {
	x.status = status
	h := x.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	x.e.o.Protocol.Refuse(h, x.request.ID, retryAfter)
	x.w.WriteHeader(status)
	if _, err := io.WriteString(x.w, reason+"\n"); err != nil {
		x.e.o.Logger.Debug("answer not written", zap.String("request", x.request.ID), zap.Error(err))
	}
}

// finish writes the request's log line and counts its outcome.
func (x *exchange) finish() {
	now := time.Now()
	s := x.e.stats
	switch x.outcome {
	case outcomeServed:
		s.served.Inc(1)
		s.total.Update(milliseconds(now.Sub(x.started)))
		s.firstByte.Update(milliseconds(x.firstByte.Sub(x.started)))
	case outcomeRefused:
		s.refused.Inc(1)
	case outcomeRejected:
		s.rejected.Inc(1)
	case outcomeAbandoned:
		s.abandoned.Inc(1)
	default:
		s.failed.Inc(1)
	}
	fields := []zap.Field{zap.String("request", x.request.ID), zap.String("outcome", x.outcome), zap.Int("status", x.status),
		zap.Int64("ms", milliseconds(now.Sub(x.started)))}
	if x.view != nil && x.view.catalog != nil {
		fields = append(fields, zap.Uint64("catalog", x.view.catalog.Version))
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name), zap.Stringer("kind", x.route.Kind))
	}
	if x.account != nil {
		fields = append(fields, zap.String("account", x.account.Name))
	}
	if x.service != nil {
		fields = append(fields, zap.String("service", x.service.Name), zap.String("model", x.request.Model),
			zap.Int("prompt", x.request.PromptTokens), zap.Int("answer", x.request.expectedAnswer()))
	}
	if !x.firstByte.IsZero() {
		fields = append(fields, zap.Int64("firstMs", milliseconds(x.firstByte.Sub(x.started))))
	}
	if x.longestGap > 0 {
		fields = append(fields, zap.Int64("gapMs", milliseconds(x.longestGap)))
	}
	if x.reason != "" {
		fields = append(fields, zap.String("reason", x.reason))
	}
	if len(x.sends) > 0 {
		fields = append(fields, zap.Array("sends", sendRecords(x.sends)))
	}
	x.e.o.Logger.Info("request", fields...)
}

// codeOf names an error for the log.
func codeOf(err error) string {
	if code := fault.CodeOf(err); code != "" {
		return string(code)
	}
	return "error"
}
