package caller

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fake"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/settings"
)

const tokens = 12

// Guards against a fault of an upstream reaching the caller as a whole answer
// with tokens lost, doubled, reordered or of another request.
func TestStreamFaults(t *testing.T) {
	cases := []struct {
		name    string
		first   fake.Faults
		second  fake.Faults
		kill    bool
		whole   bool
		outcome fault.Outcome
	}{
		{name: "healthy", whole: true},
		{name: "reset before the first byte", first: fake.Faults{Reset: true}, whole: true},
		{name: "broken after the first byte", first: fake.Faults{TruncateAfter: 3}, whole: true},
		{name: "ended early without an error", first: fake.Faults{TruncateAfter: 3, CleanTruncate: true}, whole: true},
		{name: "broken on both upstreams", first: fake.Faults{TruncateAfter: 3}, second: fake.Faults{TruncateAfter: 5}, whole: true},
		{name: "events doubled and late", first: fake.Faults{DuplicateEvents: true}, whole: true},
		{name: "events doubled, then broken", first: fake.Faults{DuplicateEvents: true, TruncateAfter: 4}, whole: true},
		{name: "answer of another request", first: fake.Faults{WrongEcho: true}, whole: true},
		{name: "answer of another request everywhere", first: fake.Faults{WrongEcho: true}, second: fake.Faults{WrongEcho: true}, outcome: fault.Unknown},
		{name: "crash by the request", first: fake.Faults{CrashOn: "rug"}, whole: true},
		{name: "dead upstream", kill: true, whole: true},
		{name: "broken everywhere before the first byte", first: fake.Faults{Reset: true}, second: fake.Faults{Reset: true}, outcome: fault.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.engines[0].SetFaults(c.first)
			h.engines[1].SetFaults(c.second)
			if c.kill {
				h.engines[0].Kill()
			}
			r := h.stream("rug", tokens)
			require.Equal(t, c.whole, r.whole)
			if c.whole {
				require.NoError(t, r.err)
				require.Equal(t, fake.Answer("rug", tokens), r.content)
				require.Equal(t, string(fault.Ran), r.header.Get(HeaderOutcome))
				return
			}
			require.Equal(t, string(c.outcome), r.header.Get(HeaderOutcome))
		})
	}
}

// Guards against a stream that breaks for good ending like a whole one.
func TestBrokenStreamIsVisiblyBroken(t *testing.T) {
	h := newHarness(t, 1)
	h.engines[0].SetFaults(fake.Faults{TruncateAfter: 1})
	r := h.stream("rug", tokens)
	require.Error(t, r.err, "the connection must break")
	require.False(t, r.whole)
	require.Contains(t, r.body, `event: error`)
	require.Contains(t, r.body, `"outcome":"unknown"`)
	require.True(t, strings.HasPrefix(fake.Answer("rug", tokens), r.content))
}

// Guards against an answer that is not a stream being cut off at the size of
// the buffer and passed on as a whole one.
func TestLargeAnswerInPlaceOfAStream(t *testing.T) {
	h := newHarness(t, 0)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
		w.Header().Set(upstream.HeaderAttempt, r.Header.Get(upstream.HeaderAttempt))
		_, _ = w.Write(make([]byte, spoolBytes+1))
	}))
	defer engine.Close()
	h.dead = []upstream.Target{{ID: "odd", Address: engine.Listener.Addr().String()}}
	r := h.stream("rug", tokens)
	require.Equal(t, http.StatusBadGateway, r.status)
	require.Equal(t, string(fault.Unknown), r.header.Get(HeaderOutcome))
}

// Guards against a stream whose engine cannot resume being started again after
// tokens were delivered.
func TestStreamWithoutResumeIsNotRepeated(t *testing.T) {
	h := newHarness(t, 0)
	engine, err := fake.StartEngine(fake.EngineConfig{})
	require.NoError(t, err)
	defer engine.Close()
	h.engines = append(h.engines, engine)
	engine.SetFaults(fake.Faults{TruncateAfter: 3})
	r := h.stream("rug", tokens)
	require.False(t, r.whole)
	require.Len(t, engine.Runs(), 1)
}

// Guards against a pause in the middle of a stream holding the caller when
// another engine can go on.
func TestStalledStreamIsResumedElsewhere(t *testing.T) {
	h := newHarness(t, 1)
	h.route.IdleTimeout = 100 * time.Millisecond
	slow, err := fake.StartEngine(fake.EngineConfig{TokenDelay: time.Hour, Upstream: fake.Upstream{Announcement: h.engines[0].Announcement()}})
	require.NoError(t, err)
	defer slow.Close()
	h.route.FirstByteTimeout = 100 * time.Millisecond
	h.engines = []*fake.Engine{slow, h.engines[0]}
	// Both announce the same id, so the second attempt picks the last one.
	r := h.stream("rug", tokens)
	require.True(t, r.whole)
	require.Equal(t, fake.Answer("rug", tokens), r.content)
}

// Guards against preemption losing or repeating tokens.
func TestPreemptedStreamResumes(t *testing.T) {
	h := newHarness(t, 0)
	for i := range 2 {
		a := fake.Upstream{}
		a.ID = fmt.Sprintf("e%d", i)
		a.Features.Resume = true
		e, err := fake.StartEngine(fake.EngineConfig{Upstream: a, TokenDelay: 5 * time.Millisecond})
		require.NoError(t, err)
		t.Cleanup(e.Close)
		h.engines = append(h.engines, e)
	}
	go func() {
		for h.engines[0].Tokens() < 3 {
			time.Sleep(time.Millisecond)
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		close(h.preempt[0])
	}()
	r := h.stream("rug", 40)
	require.True(t, r.whole)
	require.Equal(t, fake.Answer("rug", 40), r.content)
	require.Len(t, h.engines[1].Runs(), 1)
}

// Guards against free requests that keep their place in an engine's queue when
// paying work needs it, streamed or whole.
func TestQueuedRequestGivesWay(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			h := newHarness(t, 2)
			h.engines[0].SetFaults(fake.Faults{Delay: time.Hour})
			go h.preemptFirst()
			if stream {
				require.True(t, h.stream("rug", 5).whole)
			} else {
				body := `{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"rug"}]}`
				require.Equal(t, http.StatusOK, h.do(t.Context(), http.MethodPost, chatPath, body, nil).status)
			}
			require.Empty(t, h.engines[0].Runs())
			require.Len(t, h.engines[1].Runs(), 1)
		})
	}
}

// preemptFirst preempts the first request once its attempt has reached an
// engine.
func (h *harness) preemptFirst() {
	for !h.engines[0].Dispatched() {
		time.Sleep(time.Millisecond)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.preempt[0])
}

// Guards against a not-run for a request that an engine had when it gave way
// and that could not run again.
func TestPreemptedRequestMayHaveRun(t *testing.T) {
	h := newHarness(t, 1)
	h.engines[0].SetFaults(fake.Faults{Delay: time.Hour})
	h.yieldErr = fault.New(fault.DeadlineExceeded, fault.At{Step: StepAdmit}, fault.NotRun, "no place before the deadline")
	go h.preemptFirst()
	r := h.stream("rug", 5)
	require.Equal(t, fault.Unknown, fault.Outcome(r.header.Get(HeaderOutcome)), r.body)
}

// Guards against a resend that is refused although the request that held its
// key has been released without a run.
func TestResendAfterRelease(t *testing.T) {
	h := newHarness(t, 0)
	body := [32]byte(digest("acc", h.route.Service, http.MethodPost, "/orders", []byte("one")))
	h.claims["k"] = &fakeClaim{state: ClaimRunning, body: body, done: make(chan struct{})}
	time.AfterFunc(20*time.Millisecond, func() { h.Release(ClaimID{Key: "k"}) })
	r := h.do(t.Context(), http.MethodPost, "/orders", "one", map[string]string{headerIdempotencyKey: "k"})
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.Len(t, h.plain.Runs(), 1)
}

// Guards against answers crossing between concurrent callers.
func TestConcurrentCallersGetTheirOwnAnswers(t *testing.T) {
	h := newHarness(t, 2)
	h.engines[0].SetFaults(fake.Faults{TruncateAfter: 2, DuplicateEvents: true})
	var all sync.WaitGroup
	for i := range 40 {
		all.Go(func() {
			prompt := fmt.Sprintf("rug%d", i)
			r := h.stream(prompt, tokens)
			if r.content != fake.Answer(prompt, tokens) || !r.whole {
				t.Errorf("caller %d got %q", i, r.content)
			}
		})
	}
	all.Wait()
}

const wholeBody = `{"model":"m","max_tokens":4,"messages":[{"role":"user","content":"rug"}]}`

// Guards against a refused or failed request being reported with the wrong
// status, outcome, step or peer.
func TestRequestFaults(t *testing.T) {
	cases := []struct {
		name    string
		setup   func(*harness)
		method  string
		path    string
		body    string
		header  map[string]string
		status  int
		code    fault.Code
		outcome fault.Outcome
		step    string
		runs    int
	}{
		{name: "unknown key", header: map[string]string{"Authorization": "Bearer x"}, status: 401, code: fault.Unauthorized, outcome: fault.NotRun, step: StepAuthenticate},
		{name: "malformed body", body: "{", status: 400, code: fault.BadRequest, outcome: fault.NotRun, step: StepRead},
		{name: "body over the service's limit", body: `{"model":"` + strings.Repeat("x", 1<<16) + `"}`, status: 413, code: fault.BodyTooLarge, outcome: fault.NotRun, step: StepRoute},
		{name: "body over the global limit", setup: func(h *harness) { h.maxBody = 10 }, status: 413, code: fault.BodyTooLarge, outcome: fault.NotRun, step: StepRead},
		{name: "headers over the limit", header: map[string]string{"X-Big": strings.Repeat("x", 5<<10)}, status: 431, code: fault.HeaderTooLarge, outcome: fault.NotRun, step: StepRoute},
		{name: "quarantined", setup: func(h *harness) {
			h.quarantine = fault.New(fault.Quarantined, fault.At{Step: "quarantine"}, fault.NotRun, "crashes upstreams")
		}, status: 422, code: fault.Quarantined, outcome: fault.NotRun, step: "quarantine"},
		{name: "no upstream", setup: func(h *harness) { h.engines = nil }, status: 503, code: fault.NoUpstream, outcome: fault.NotRun, step: StepPick},
		{name: "all upstreams unreachable", setup: func(h *harness) { h.engines[0].Kill() }, status: 502, code: fault.UpstreamUnreachable, outcome: fault.NotRun, step: upstream.StepDispatch},
		{name: "truncated whole answer", setup: func(h *harness) { h.engines[0].SetFaults(fake.Faults{TruncateAfter: 1}) }, status: 502, code: fault.UpstreamTruncated, outcome: fault.Unknown, step: StepRelay, runs: 4},
		{name: "503 without a contract", method: "POST", path: "/orders", setup: func(h *harness) { h.plain.SetFaults(fake.Faults{Refuse: 503}) }, status: 502, code: fault.UpstreamUnreachable, outcome: fault.Unknown, step: upstream.StepDispatch},
		{name: "503 that the contract calls not started", method: "POST", path: "/orders", setup: func(h *harness) {
			h.plain.SetFaults(fake.Faults{Refuse: 503})
			h.route.NotStarted = []settings.Proof{{Status: 503}}
		}, status: 502, code: fault.UpstreamUnreachable, outcome: fault.NotRun, step: upstream.StepDispatch},
		{name: "order reset in flight", method: "POST", path: "/orders", setup: func(h *harness) { h.plain.SetFaults(fake.Faults{Reset: true}) }, status: 502, code: fault.UpstreamFailed, outcome: fault.Unknown, step: upstream.StepDispatch},
		{name: "order truncated", method: "POST", path: "/orders", setup: func(h *harness) { h.plain.SetFaults(fake.Faults{TruncateAfter: 1}) }, status: 502, code: fault.UpstreamTruncated, outcome: fault.Unknown, step: StepRelay, runs: 1},
		{name: "claim unavailable", method: "POST", path: "/orders", header: map[string]string{"Idempotency-Key": "k"}, setup: func(h *harness) {
			h.failClaim = fault.New(fault.ClaimUnavailable, fault.At{Peer: "c1"}, fault.NotRun, "no majority")
		}, status: 503, code: fault.ClaimUnavailable, outcome: fault.NotRun, step: StepClaim},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1)
			if c.setup != nil {
				c.setup(h)
			}
			if c.path == "" {
				c.method, c.path = http.MethodPost, chatPath
				if c.body == "" {
					c.body = wholeBody
				}
			}
			r := h.do(t.Context(), c.method, c.path, c.body, c.header)
			require.Equal(t, c.status, r.status)
			require.Equal(t, string(c.outcome), r.header.Get(HeaderOutcome))
			require.Contains(t, r.body, fmt.Sprintf("%q:%q", "code", c.code))
			require.Contains(t, r.body, fmt.Sprintf("%q:%q", "outcome", c.outcome))
			require.Contains(t, r.body, fmt.Sprintf("%q:%q", "step", c.step))
			require.Len(t, append(h.plain.Runs(), h.runs()...), c.runs)
		})
	}
}

func (h *harness) runs() []fake.Run {
	var all []fake.Run
	for _, e := range h.engines {
		all = append(all, e.Runs()...)
	}
	return all
}

// Guards against a non-idempotent request running twice, whatever broke.
func TestOrdersRunAtMostOnce(t *testing.T) {
	cases := []struct {
		name   string
		faults fake.Faults
		dead   bool
		key    string
		// sends is how often the caller sends the order.
		sends int
		runs  int
		last  fault.Outcome
	}{
		{name: "without a key", sends: 1, runs: 1, last: fault.Ran},
		{name: "without a key, first upstream unreachable", dead: true, sends: 1, runs: 1, last: fault.Ran},
		{name: "resent with a key", key: "k", sends: 3, runs: 1, last: fault.Ran},
		{name: "resent with a key, first upstream unreachable", dead: true, key: "k", sends: 3, runs: 1, last: fault.Ran},
		{name: "resent after the answer was lost", faults: fake.Faults{TruncateAfter: 1}, key: "k", sends: 3, runs: 1, last: fault.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 0)
			h.plain.SetFaults(c.faults)
			if c.dead {
				closed, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				h.dead = []upstream.Target{{ID: "dead", Address: closed.Addr().String()}}
				require.NoError(t, closed.Close())
			}
			var r result
			for range c.sends {
				header := map[string]string{}
				if c.key != "" {
					header["Idempotency-Key"] = c.key
				}
				r = h.do(t.Context(), http.MethodPost, "/orders", "one", header)
			}
			require.Equal(t, string(c.last), r.header.Get(HeaderOutcome))
			require.Len(t, h.plain.Runs(), c.runs)
			if c.last == fault.Ran {
				require.Contains(t, r.body, `"run":1`)
			}
		})
	}
}

// Guards against token limits that charge whole answers nothing, or streams
// another number than was delivered.
func TestTokensUsed(t *testing.T) {
	prompt := strings.Repeat("word ", 40)
	cases := []struct {
		name   string
		stream bool
		faults fake.Faults
		want   int
	}{
		{"whole answer", false, fake.Faults{}, 40 + tokens},
		{"whole answer lost", false, fake.Faults{TruncateAfter: 1}, unknownTokens},
		{"stream", true, fake.Faults{}, (len("user\n")+len(prompt)+2)/bytesPerToken + tokens},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.engines[0].SetFaults(c.faults)
			body := fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, c.stream, tokens, prompt)
			h.do(t.Context(), http.MethodPost, chatPath, body, nil)
			require.Eventually(t, func() bool { return h.handler.InFlight() == 0 }, 10*time.Second, time.Millisecond)
			require.Equal(t, []Usage{{Tokens: c.want}}, h.usages)
		})
	}
}

// Guards against an answer over the service's bound being taken for a crash or
// a timeout of the upstream, or being passed on.
func TestAnswerOverTheBound(t *testing.T) {
	for _, c := range []struct{ method, path, body string }{
		{http.MethodPost, chatPath, wholeBody},
		{http.MethodPost, "/orders", "one"},
		{http.MethodGet, "/status", ""},
	} {
		t.Run(c.method+c.path, func(t *testing.T) {
			h := newHarness(t, 1)
			h.route.MaxResponseBytes = 10
			r := h.do(t.Context(), c.method, c.path, c.body, nil)
			require.Equal(t, http.StatusBadGateway, r.status)
			require.Contains(t, r.body, string(fault.ResponseTooLarge))
			require.Len(t, append(h.plain.Runs(), h.runs()...), 1, "another attempt would be as large")
			require.Equal(t, string(fault.Unknown), r.header.Get(HeaderOutcome))
		})
	}
}

// Guards against the length of an answer without a body being changed.
func TestHeadKeepsTheLength(t *testing.T) {
	h := newHarness(t, 0)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1234")
	}))
	defer service.Close()
	h.dead = []upstream.Target{{ID: "files", Address: service.Listener.Addr().String()}}
	r := h.do(t.Context(), http.MethodHead, "/file", "", nil)
	require.Equal(t, "1234", r.header.Get("Content-Length"))
}

// Guards against the same key being used for two different orders.
func TestKeyWithAnotherBodyIsRefused(t *testing.T) {
	h := newHarness(t, 0)
	header := map[string]string{"Idempotency-Key": "k"}
	require.Equal(t, 200, h.do(t.Context(), http.MethodPost, "/orders", "one", header).status)
	r := h.do(t.Context(), http.MethodPost, "/orders", "two", header)
	require.Equal(t, 409, r.status)
	require.Equal(t, string(fault.NotRun), r.header.Get(HeaderOutcome))
	require.Len(t, h.plain.Runs(), 1)
}

// Guards against a claimed order being cancelled when its caller goes away, and
// against a resend not finding its answer.
func TestClaimedOrderOutlivesItsCaller(t *testing.T) {
	h := newHarness(t, 0)
	h.plain.SetFaults(fake.Faults{Delay: 200 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	header := map[string]string{"Idempotency-Key": "k"}
	go func() {
		for h.handler.InFlight() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
		cancel()
	}()
	require.Error(t, h.do(ctx, http.MethodPost, "/orders", "one", header).err)
	r := h.do(t.Context(), http.MethodPost, "/orders", "one", header)
	require.Equal(t, 200, r.status)
	require.Equal(t, "true", r.header.Get(HeaderReplayed))
	require.Len(t, h.plain.Runs(), 1)
}

// Guards against work going on upstream for a caller that has gone away.
func TestCallerGoneCancelsUpstream(t *testing.T) {
	h := newHarness(t, 0)
	e, err := fake.StartEngine(fake.EngineConfig{TokenDelay: 5 * time.Millisecond})
	require.NoError(t, err)
	defer e.Close()
	h.engines = append(h.engines, e)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for e.Tokens() < 2 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	body := `{"model":"m","stream":true,"max_tokens":100000,"messages":[{"role":"user","content":"rug"}]}`
	require.Error(t, h.do(ctx, http.MethodPost, chatPath, body, nil).err)
	require.Eventually(t, func() bool { return e.Running() == 0 && h.handler.InFlight() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against a caller that does not read holding its place on an upstream
// beyond the deadline of its request.
func TestCallerThatDoesNotRead(t *testing.T) {
	h := newHarness(t, 1)
	h.route.Timeout = 200 * time.Millisecond
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	// The answer is larger than the buffers of the connection.
	body := `{"model":"m","stream":true,"max_tokens":1000000,"messages":[{"role":"user","content":"rug"}]}`
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", chatPath, len(body), body)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return h.engines[0].Tokens() > 0 }, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return h.handler.InFlight() == 0 && h.engines[0].Running() == 0 }, 20*time.Second, 5*time.Millisecond)
}

// Guards against callers that never finish their bodies holding connections
// and keeping a planned stop waiting.
func TestCallerThatDoesNotSend(t *testing.T) {
	h := newHarness(t, 1)
	h.handler.BodyTimeout = 50 * time.Millisecond
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\nContent-Length: 100\r\n\r\n{", chatPath)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.Equal(t, string(fault.NotRun), resp.Header.Get(HeaderOutcome))
	require.Eventually(t, func() bool { return h.handler.InFlight() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against a planned stop interrupting a stream or taking new work.
func TestDrainFinishesStreams(t *testing.T) {
	h := newHarness(t, 0)
	e, err := fake.StartEngine(fake.EngineConfig{TokenDelay: 5 * time.Millisecond})
	require.NoError(t, err)
	defer e.Close()
	h.engines = append(h.engines, e)
	got := make(chan result, 1)
	go func() { got <- h.stream("rug", 30) }()
	for e.Tokens() < 2 {
		time.Sleep(time.Millisecond)
	}
	idle := h.handler.Drain()
	refused := h.stream("late", 1)
	require.Equal(t, 503, refused.status)
	require.Equal(t, string(fault.NotRun), refused.header.Get(HeaderOutcome))
	r := <-got
	require.True(t, r.whole)
	require.Equal(t, fake.Answer("rug", 30), r.content)
	<-idle
}
