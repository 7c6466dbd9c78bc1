package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fake"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/sse"
	"github.com/bluebellfield/bluebellfield/membership"
)

// harness runs a Handler with fake upstreams. It implements the handler's
// dependencies with simple policies.
type harness struct {
	t            *testing.T
	url          string
	handler      *Handler
	engines      []*fake.Engine
	plainService *fake.PlainService
	route        Route
	maxBody      int64

	mu sync.Mutex
	// extra are targets that Pick prefers to the engines and the plain service.
	extra      []upstream.Target
	claims     map[string]*fakeClaim
	failClaim  error
	quarantine error
	// preempt holds a channel for each admitted request; closing it preempts the
	// request.
	preempt  []chan struct{}
	yieldErr error
	finished []Finished
	usages   []Usage
	// outlives is returned by Choice.OutlivesCaller.
	outlives bool
	// ended is returned by Choice.Ended.
	ended bool
	// canResume is returned by Choice.CanResume for the targets of extra.
	canResume bool
	// onLimit is called by Choice.NamedLimit.
	onLimit func(rate float64, named bool)
	// results holds the results of all attempts.
	results []Result
}

type fakeClaim struct {
	state  ClaimState
	body   [32]byte
	answer RecordedAnswer
	done   chan struct{}
}

func newHarness(t *testing.T, engines int) *harness {
	h := &harness{t: t, claims: map[string]*fakeClaim{}, maxBody: 1 << 20, route: Route{
		Service: "m", Kind: membership.ModelEngine, Idempotent: true, Timeout: 20 * time.Second, FirstByteTimeout: 20 * time.Second,
		IdleTimeout: 20 * time.Second, MaxBodyBytes: 1 << 16, MaxResponseBytes: 1 << 20, MaxHeaderBytes: 4 << 10,
	}}
	for i := range engines {
		e, err := fake.StartEngine(fake.EngineConfig{Upstream: fake.Upstream{Announcement: membership.Announcement{
			ID: fmt.Sprintf("e%d", i), Features: membership.Features{Resume: true},
		}}})
		require.NoError(t, err)
		t.Cleanup(e.Close)
		h.engines = append(h.engines, e)
	}
	plainService, err := fake.StartPlainService(fake.PlainServiceConfig{Upstream: fake.Upstream{Announcement: membership.Announcement{ID: "p0"}}})
	require.NoError(t, err)
	t.Cleanup(plainService.Close)
	h.plainService = plainService
	client := upstream.NewClient(nil)
	t.Cleanup(client.Close)
	h.handler = NewHandler(Options{
		Deps:   Deps{Policy: h, Admitter: h, Picker: h, Retrier: h, Quarantine: h, Claimer: h, Client: client},
		Logger: zap.NewNop(), Tracer: otel.Tracer("test"),
		Observe: func(f Finished) { h.mu.Lock(); defer h.mu.Unlock(); h.finished = append(h.finished, f) },
	})
	server := httptest.NewServer(h.handler)
	t.Cleanup(server.Close)
	h.url = server.URL
	return h
}

func (h *harness) Account(key string) (Account, error) {
	if key != "key" {
		return Account{}, fmt.Errorf("unknown key")
	}
	return Account{ID: "acc", Class: Free}, nil
}

func (h *harness) Route(_ Account, method, path, _ string) (Route, error) {
	route := h.route
	if path == chatPath {
		return route, nil
	}
	route.Kind, route.Idempotent = membership.PlainService, method == http.MethodGet
	return route, nil
}

func (h *harness) MaxBodyBytes() int64 { return h.maxBody }

func (h *harness) Check(*RequestInfo) error { return h.quarantine }

// harnessSlot admits the request again as soon as it yields, with a new channel
// for its preemption.
type harnessSlot struct {
	preempted chan struct{}
	yieldErr  error
	onRelease func(Usage)
}

func (s *harnessSlot) Preempted() <-chan struct{} { return s.preempted }
func (s *harnessSlot) Release(u Usage)            { s.onRelease(u) }

func (s *harnessSlot) Yield(context.Context) error {
	s.preempted = make(chan struct{})
	return s.yieldErr
}

func (h *harness) Admit(context.Context, *RequestInfo) (Slot, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &harnessSlot{make(chan struct{}), h.yieldErr, func(u Usage) { h.mu.Lock(); defer h.mu.Unlock(); h.usages = append(h.usages, u) }}
	h.preempt = append(h.preempt, s.preempted)
	return s, nil
}

type harnessChoice struct {
	target    upstream.Target
	canResume bool
	outlives  bool
	ended     bool
	onFinish  func(Result)
	onLimit   func(rate float64, named bool)
}

func (c harnessChoice) Target() upstream.Target { return c.target }
func (c harnessChoice) Reason() string          { return "" }
func (c harnessChoice) HonoursPriority() bool   { return false }
func (c harnessChoice) CanResume() bool         { return c.canResume }
func (c harnessChoice) FirstByte()              {}
func (c harnessChoice) Leaving()                {}
func (c harnessChoice) Pause(time.Duration)     {}
func (c harnessChoice) NamedLimit(rate float64, named bool) {
	if c.onLimit != nil {
		c.onLimit(rate, named)
	}
}
func (c harnessChoice) Progressed()          {}
func (c harnessChoice) Ended() bool          { return c.ended }
func (c harnessChoice) OutlivesCaller() bool { return c.outlives }
func (c harnessChoice) Finish(r Result)      { c.onFinish(r) }

func (h *harness) Pick(_ context.Context, info *RequestInfo, _ int, tried []string) (Choice, error) {
	var all []harnessChoice
	for _, target := range h.extra {
		all = append(all, harnessChoice{target: target, canResume: h.canResume})
	}
	if info.Route.Kind == membership.PlainService {
		all = append(all, harnessChoice{target: upstream.Target{ID: "p0", Address: h.plainService.Announcement().Address}})
	} else {
		for _, e := range h.engines {
			a := e.Announcement()
			all = append(all, harnessChoice{target: upstream.Target{ID: a.ID, Address: a.Address}, canResume: a.Features.Resume})
		}
	}
	for _, c := range all {
		c.outlives, c.ended, c.onFinish, c.onLimit = h.outlives, h.ended, h.recordResult, h.onLimit
		if !slices.Contains(tried, c.target.ID) {
			return c, nil
		}
	}
	if len(all) == 0 {
		return nil, fault.New(fault.NoUpstream, fault.Location{}, fault.NotRun, "none")
	}
	last := all[len(all)-1]
	last.outlives, last.ended, last.onFinish, last.onLimit = h.outlives, h.ended, h.recordResult, h.onLimit
	return last, nil
}

func (h *harness) recordResult(r Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.results = append(h.results, r)
}

func (h *harness) RecordFirstAttempt(*RequestInfo) {}

func (h *harness) Next(_ *RequestInfo, attempt int, _ fault.Outcome) (time.Duration, bool) {
	return 0, attempt < 4
}

func (h *harness) Claim(_ context.Context, id ClaimID, body [32]byte) (ClaimState, RecordedAnswer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failClaim != nil {
		return 0, RecordedAnswer{}, h.failClaim
	}
	c := h.claims[id.Key]
	if c == nil {
		h.claims[id.Key] = &fakeClaim{state: ClaimRunning, body: body, done: make(chan struct{})}
		return ClaimGranted, RecordedAnswer{}, nil
	}
	if c.body != body {
		return 0, RecordedAnswer{}, fault.New(fault.KeyConflict, fault.Location{}, fault.NotRun, "another body")
	}
	return c.state, c.answer, nil
}

func (h *harness) Await(ctx context.Context, id ClaimID, _ [32]byte) (ClaimState, RecordedAnswer, error) {
	h.mu.Lock()
	c := h.claims[id.Key]
	h.mu.Unlock()
	select {
	case <-c.done:
	case <-ctx.Done():
		return 0, RecordedAnswer{}, ctx.Err()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.claims[id.Key] != c {
		return 0, RecordedAnswer{}, fault.New(fault.Conflict, fault.Location{}, fault.NotRun, "the first request did not run")
	}
	return c.state, c.answer, nil
}

func (h *harness) Complete(id ClaimID, answer *RecordedAnswer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.claims[id.Key]
	c.state = ClaimUnknown
	if answer != nil {
		c.state, c.answer = ClaimDone, *answer
	}
	close(c.done)
}

func (h *harness) Release(id ClaimID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.claims[id.Key]; c != nil {
		delete(h.claims, id.Key)
		close(c.done)
	}
}

// result is the response as received by the caller.
type result struct {
	status int
	header http.Header
	body   string
	// content is the joined content of the events of a stream.
	content string
	// complete is set if a stream ended with its end marker.
	complete bool
	err      error
}

func (h *harness) do(ctx context.Context, method, path, body string, header map[string]string) result {
	req, err := http.NewRequestWithContext(ctx, method, h.url+path, strings.NewReader(body))
	require.NoError(h.t, err)
	req.Header.Set("Authorization", "Bearer key")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r := result{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
	r.content, r.complete = streamContent(data)
	return r
}

func (h *harness) stream(prompt string, tokens int) result {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
	return h.do(h.t.Context(), http.MethodPost, chatPath, body, nil)
}

// streamContent joins the tokens of a stream and reports whether it ended with
// its end marker.
func streamContent(data []byte) (string, bool) {
	var content strings.Builder
	in := sse.NewReader(bytes.NewReader(data), 1<<20)
	var e sse.Event
	for in.Read(&e) == nil {
		if e.IsDone() {
			return content.String(), true
		}
		_, rest, found := strings.Cut(string(e.Data), `"content":"`)
		token, _, _ := strings.Cut(rest, `"`)
		if found {
			content.WriteString(token)
		}
	}
	return content.String(), false
}
