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

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/edge/bodybudget"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fake"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/settings"
)

// answerTokens is the default number of tokens in the answers of the tests.
const answerTokens = 12

// A fault of an upstream must not produce a complete answer with missing,
// duplicate or reordered tokens, or with the tokens of another request.
func TestStreamFaults(t *testing.T) {
	cases := []struct {
		name     string
		first    fake.Faults
		second   fake.Faults
		kill     bool
		complete bool
		outcome  fault.Outcome
	}{
		{name: "healthy", complete: true},
		{name: "reset before the first byte", first: fake.Faults{Reset: true}, complete: true},
		{name: "truncated after the first byte", first: fake.Faults{TruncateAfter: 3}, complete: true},
		{name: "ended early without an error", first: fake.Faults{TruncateAfter: 3, CleanTruncate: true}, complete: true},
		{name: "truncated on both upstreams", first: fake.Faults{TruncateAfter: 3}, second: fake.Faults{TruncateAfter: 5}, complete: true},
		{name: "duplicate events", first: fake.Faults{DuplicateEvents: true}, complete: true},
		{name: "duplicate events, then truncated", first: fake.Faults{DuplicateEvents: true, TruncateAfter: 4}, complete: true},
		{name: "response to another request", first: fake.Faults{WrongEcho: true}, complete: true},
		{name: "response to another request on both upstreams", first: fake.Faults{WrongEcho: true}, second: fake.Faults{WrongEcho: true}, outcome: fault.Unknown},
		{name: "request crashes the upstream", first: fake.Faults{CrashOn: "rug"}, complete: true},
		{name: "dead upstream", kill: true, complete: true},
		{name: "reset before the first byte on both upstreams", first: fake.Faults{Reset: true}, second: fake.Faults{Reset: true}, outcome: fault.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.engines[0].SetFaults(c.first)
			h.engines[1].SetFaults(c.second)
			if c.kill {
				h.engines[0].Kill()
			}
			r := h.stream("rug", answerTokens)
			require.Equal(t, c.complete, r.complete)
			if c.complete {
				require.NoError(t, r.err)
				require.Equal(t, fake.Answer("rug", answerTokens), r.content)
				require.Equal(t, string(fault.Ran), r.header.Get(HeaderOutcome))
				return
			}
			require.Equal(t, string(c.outcome), r.header.Get(HeaderOutcome))
		})
	}
}

// A stream that fails after all retries must not look like a complete one.
func TestBrokenStreamReportsError(t *testing.T) {
	h := newHarness(t, 1)
	h.engines[0].SetFaults(fake.Faults{TruncateAfter: 1})
	r := h.stream("rug", answerTokens)
	require.Error(t, r.err, "the connection must break")
	require.False(t, r.complete)
	require.Contains(t, r.body, `event: error`)
	require.Contains(t, r.body, `"outcome":"unknown"`)
	require.True(t, strings.HasPrefix(fake.Answer("rug", answerTokens), r.content))
}

// A response that is not an event stream and exceeds the buffer must not be
// truncated and relayed as if it were complete.
func TestLargeNonStreamResponse(t *testing.T) {
	h := newHarness(t, 0)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
		w.Header().Set(upstream.HeaderAttempt, r.Header.Get(upstream.HeaderAttempt))
		_, _ = w.Write(make([]byte, responseBufferBytes+1))
	}))
	defer engine.Close()
	h.extra = []upstream.Target{{ID: "extra", Address: engine.Listener.Addr().String()}}
	r := h.stream("rug", answerTokens)
	require.Equal(t, http.StatusBadGateway, r.status)
	require.Equal(t, string(fault.Unknown), r.header.Get(HeaderOutcome))
}

// A stream must not be started again after tokens were delivered if the engine
// cannot resume it.
func TestStreamWithoutResumeIsNotRetried(t *testing.T) {
	h := newHarness(t, 0)
	engine, err := fake.StartEngine(fake.EngineConfig{})
	require.NoError(t, err)
	defer engine.Close()
	h.engines = append(h.engines, engine)
	engine.SetFaults(fake.Faults{TruncateAfter: 3})
	r := h.stream("rug", answerTokens)
	require.False(t, r.complete)
	require.Len(t, engine.Runs(), 1)
}

// A stream that stalls must be resumed on another engine after the idle timeout.
func TestStalledStreamResumesOnAnotherEngine(t *testing.T) {
	h := newHarness(t, 1)
	h.route.IdleTimeout = 100 * time.Millisecond
	slow, err := fake.StartEngine(fake.EngineConfig{TokenDelay: time.Hour, Upstream: fake.Upstream{Announcement: h.engines[0].Announcement()}})
	require.NoError(t, err)
	defer slow.Close()
	h.route.FirstByteTimeout = 100 * time.Millisecond
	h.engines = []*fake.Engine{slow, h.engines[0]}
	// Both announce the same id, so the second attempt picks the last one.
	r := h.stream("rug", answerTokens)
	require.True(t, r.complete)
	require.Equal(t, fake.Answer("rug", answerTokens), r.content)
}

// Preemption must not lose or repeat tokens.
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
	require.True(t, r.complete)
	require.Equal(t, fake.Answer("rug", 40), r.content)
	require.Len(t, h.engines[1].Runs(), 1)
}

// A free request in an engine's queue must be preempted when a paying request
// needs its slot, with and without streaming.
func TestQueuedRequestGivesWay(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			h := newHarness(t, 2)
			h.engines[0].SetFaults(fake.Faults{Delay: time.Hour})
			go h.preemptFirst()
			if stream {
				require.True(t, h.stream("rug", 5).complete)
			} else {
				body := `{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"rug"}]}`
				require.Equal(t, http.StatusOK, h.do(t.Context(), http.MethodPost, chatPath, body, nil).status)
			}
			require.Empty(t, h.engines[0].Runs())
			require.Len(t, h.engines[1].Runs(), 1)
		})
	}
}

// preemptFirst preempts the first request after its attempt has reached the first
// engine.
func (h *harness) preemptFirst() {
	for !h.engines[0].Dispatched() {
		time.Sleep(time.Millisecond)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.preempt[0])
}

// A request that was preempted on an engine and not admitted again may have run.
// Its outcome must not be not-run.
func TestPreemptedRequestMayHaveRun(t *testing.T) {
	h := newHarness(t, 1)
	h.engines[0].SetFaults(fake.Faults{Delay: time.Hour})
	h.yieldErr = fault.New(fault.DeadlineExceeded, fault.Location{Step: StepAdmit}, fault.NotRun, "no slot before the deadline")
	go h.preemptFirst()
	r := h.stream("rug", 5)
	require.Equal(t, fault.Unknown, fault.Outcome(r.header.Get(HeaderOutcome)), r.body)
}

// A resend must run if the request that held the idempotency key did not run and
// released its claim.
func TestResendAfterRelease(t *testing.T) {
	h := newHarness(t, 0)
	body := [32]byte(digest("acc", h.route.Service, http.MethodPost, "/orders", [][]byte{[]byte("one")}))
	h.claims["k"] = &fakeClaim{state: ClaimRunning, body: body, done: make(chan struct{})}
	time.AfterFunc(20*time.Millisecond, func() { h.Release(ClaimID{Key: "k"}) })
	r := h.do(t.Context(), http.MethodPost, "/orders", "one", map[string]string{headerIdempotencyKey: "k"})
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.Len(t, h.plainService.Runs(), 1)
}

// Concurrent callers must not receive each other's answers.
func TestConcurrentCallersGetTheirOwnAnswers(t *testing.T) {
	h := newHarness(t, 2)
	h.engines[0].SetFaults(fake.Faults{TruncateAfter: 2, DuplicateEvents: true})
	var callers sync.WaitGroup
	for i := range 40 {
		callers.Go(func() {
			prompt := fmt.Sprintf("rug%d", i)
			r := h.stream(prompt, answerTokens)
			if r.content != fake.Answer(prompt, answerTokens) || !r.complete {
				t.Errorf("caller %d got %q", i, r.content)
			}
		})
	}
	callers.Wait()
}

const unaryBody = `{"model":"m","max_tokens":4,"messages":[{"role":"user","content":"rug"}]}`

// Rejected and failed requests must be reported with the right status, code,
// outcome and step, and must not run more often than allowed.
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
			h.quarantine = fault.New(fault.Quarantined, fault.Location{Step: "quarantine"}, fault.NotRun, "crashes upstreams")
		}, status: 422, code: fault.Quarantined, outcome: fault.NotRun, step: "quarantine"},
		{name: "no upstream", setup: func(h *harness) { h.engines = nil }, status: 503, code: fault.NoUpstream, outcome: fault.NotRun, step: StepPick},
		{name: "all upstreams unreachable", setup: func(h *harness) { h.engines[0].Kill() }, status: 502, code: fault.UpstreamUnreachable, outcome: fault.NotRun, step: upstream.StepDispatch},
		{name: "truncated response", setup: func(h *harness) { h.engines[0].SetFaults(fake.Faults{TruncateAfter: 1}) }, status: 502, code: fault.UpstreamTruncated, outcome: fault.Unknown, step: StepRelay, runs: 4},
		{name: "503 without proof that the request did not start", method: "POST", path: "/orders", setup: func(h *harness) { h.plainService.SetFaults(fake.Faults{Refuse: 503}) }, status: 502, code: fault.UpstreamUnreachable, outcome: fault.Unknown, step: upstream.StepDispatch},
		{name: "503 that proves that the request did not start", method: "POST", path: "/orders", setup: func(h *harness) {
			h.plainService.SetFaults(fake.Faults{Refuse: 503})
			h.route.NotStarted = []settings.NotStartedResponse{{Status: 503}}
		}, status: 502, code: fault.UpstreamUnreachable, outcome: fault.NotRun, step: upstream.StepDispatch},
		{name: "order, connection reset", method: "POST", path: "/orders", setup: func(h *harness) { h.plainService.SetFaults(fake.Faults{Reset: true}) }, status: 502, code: fault.UpstreamFailed, outcome: fault.Unknown, step: upstream.StepDispatch},
		{name: "order, truncated response", method: "POST", path: "/orders", setup: func(h *harness) { h.plainService.SetFaults(fake.Faults{TruncateAfter: 1}) }, status: 502, code: fault.UpstreamTruncated, outcome: fault.Unknown, step: StepRelay, runs: 1},
		{name: "claim unavailable", method: "POST", path: "/orders", header: map[string]string{"Idempotency-Key": "k"}, setup: func(h *harness) {
			h.failClaim = fault.New(fault.ClaimUnavailable, fault.Location{Peer: "c1"}, fault.NotRun, "no majority")
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
					c.body = unaryBody
				}
			}
			r := h.do(t.Context(), c.method, c.path, c.body, c.header)
			require.Equal(t, c.status, r.status)
			require.Equal(t, string(c.outcome), r.header.Get(HeaderOutcome))
			require.Contains(t, r.body, fmt.Sprintf("%q:%q", "code", c.code))
			require.Contains(t, r.body, fmt.Sprintf("%q:%q", "outcome", c.outcome))
			require.Contains(t, r.body, fmt.Sprintf("%q:%q", "step", c.step))
			require.Len(t, append(h.plainService.Runs(), h.runs()...), c.runs)
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

// A non-idempotent request must run at most once, whatever fails.
func TestOrdersRunAtMostOnce(t *testing.T) {
	cases := []struct {
		name   string
		faults fake.Faults
		dead   bool
		key    string
		// sends is the number of times the caller sends the order.
		sends int
		runs  int
		last  fault.Outcome
	}{
		{name: "without a key", sends: 1, runs: 1, last: fault.Ran},
		{name: "without a key, first upstream unreachable", dead: true, sends: 1, runs: 1, last: fault.Ran},
		{name: "resent with a key", key: "k", sends: 3, runs: 1, last: fault.Ran},
		{name: "resent with a key, first upstream unreachable", dead: true, key: "k", sends: 3, runs: 1, last: fault.Ran},
		{name: "resent after a truncated response", faults: fake.Faults{TruncateAfter: 1}, key: "k", sends: 3, runs: 1, last: fault.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 0)
			h.plainService.SetFaults(c.faults)
			if c.dead {
				closed, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				h.extra = []upstream.Target{{ID: "dead", Address: closed.Addr().String()}}
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
			require.Len(t, h.plainService.Runs(), c.runs)
			if c.last == fault.Ran {
				require.Contains(t, r.body, `"run":1`)
			}
		})
	}
}

// Token limits must be charged with the usage that a chat completion reports, or
// with the tokens delivered by a stream.
func TestTokenUsage(t *testing.T) {
	prompt := strings.Repeat("word ", 40)
	cases := []struct {
		name   string
		stream bool
		faults fake.Faults
		want   int
	}{
		{"unary response", false, fake.Faults{}, 40 + answerTokens},
		{"truncated unary response", false, fake.Faults{TruncateAfter: 1}, unknownTokens},
		{"stream", true, fake.Faults{}, (len("user\n")+len(prompt)+2)/bytesPerToken + answerTokens},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.engines[0].SetFaults(c.faults)
			body := fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, c.stream, answerTokens, prompt)
			h.do(t.Context(), http.MethodPost, chatPath, body, nil)
			require.Eventually(t, func() bool { return h.handler.InFlight() == 0 }, 10*time.Second, time.Millisecond)
			require.Equal(t, []Usage{{Tokens: c.want}}, h.usages)
		})
	}
}

// A response over the service's size limit must be reported as too large. It must
// not be relayed, retried or counted as a crash or timeout of the upstream.
func TestResponseOverLimit(t *testing.T) {
	for _, c := range []struct{ method, path, body string }{
		{http.MethodPost, chatPath, unaryBody},
		{http.MethodPost, "/orders", "one"},
		{http.MethodGet, "/status", ""},
	} {
		t.Run(c.method+c.path, func(t *testing.T) {
			h := newHarness(t, 1)
			h.route.MaxResponseBytes = 10
			r := h.do(t.Context(), c.method, c.path, c.body, nil)
			require.Equal(t, http.StatusBadGateway, r.status)
			require.Contains(t, r.body, string(fault.ResponseTooLarge))
			require.Len(t, append(h.plainService.Runs(), h.runs()...), 1, "a response over the limit must not be retried")
			require.Equal(t, string(fault.Unknown), r.header.Get(HeaderOutcome))
		})
	}
}

// The response to a HEAD request must keep the upstream's Content-Length.
func TestHeadKeepsContentLength(t *testing.T) {
	h := newHarness(t, 0)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1234")
	}))
	defer service.Close()
	h.extra = []upstream.Target{{ID: "files", Address: service.Listener.Addr().String()}}
	r := h.do(t.Context(), http.MethodHead, "/file", "", nil)
	require.Equal(t, "1234", r.header.Get("Content-Length"))
}

// An idempotency key must not be accepted for two different requests.
func TestKeyReuseWithDifferentBody(t *testing.T) {
	h := newHarness(t, 0)
	header := map[string]string{"Idempotency-Key": "k"}
	require.Equal(t, 200, h.do(t.Context(), http.MethodPost, "/orders", "one", header).status)
	r := h.do(t.Context(), http.MethodPost, "/orders", "two", header)
	require.Equal(t, 409, r.status)
	require.Equal(t, string(fault.NotRun), r.header.Get(HeaderOutcome))
	require.Len(t, h.plainService.Runs(), 1)
}

// A claimed order must continue after its caller disconnects, and a resend must
// receive the recorded answer.
func TestClaimedOrderOutlivesItsCaller(t *testing.T) {
	h := newHarness(t, 0)
	h.plainService.SetFaults(fake.Faults{Delay: 200 * time.Millisecond})
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
	require.Len(t, h.plainService.Runs(), 1)
}

// A stream must be cancelled at the upstream when its caller disconnects.
func TestDisconnectCancelsUpstream(t *testing.T) {
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

// A caller that does not read the response must not hold a slot on an upstream
// past the request's deadline.
func TestCallerNotReading(t *testing.T) {
	h := newHarness(t, 1)
	h.route.Timeout = 200 * time.Millisecond
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	// The response exceeds the buffers of the connection.
	body := `{"model":"m","stream":true,"max_tokens":1000000,"messages":[{"role":"user","content":"rug"}]}`
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", chatPath, len(body), body)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return h.engines[0].Tokens() > 0 }, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return h.handler.InFlight() == 0 && h.engines[0].Running() == 0 }, 20*time.Second, 5*time.Millisecond)
}

// A caller that does not send its whole body must not hold its connection and
// delay a drain.
func TestCallerNotSending(t *testing.T) {
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

// Guards against bodies that together take the daemon over its memory. One that does not
// fit is refused truthfully, and its memory is given back after the others.
func TestBodiesThatDoNotFitAreRefused(t *testing.T) {
	h := newHarness(t, 1)
	registry := metrics.NewRegistry()
	h.handler.Bodies = bodybudget.New(300, registry)
	refused := h.stream(strings.Repeat("r", 400), 1)
	require.Equal(t, 503, refused.status)
	require.Equal(t, string(fault.NotRun), refused.header.Get(HeaderOutcome))
	require.NotEmpty(t, refused.header.Get("Retry-After"))
	require.Equal(t, 200, h.stream("rug", 1).status)
	require.Eventually(t, func() bool { return registry.Get("bodies.bytes").(metrics.Gauge).Value() == 0 }, 10*time.Second, time.Millisecond)
}

// A drain must let running streams finish and reject new requests.
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
	require.True(t, r.complete)
	require.Equal(t, fake.Answer("rug", 30), r.content)
	<-idle
}

// Guards against requests that outlast the drain timeout and are cut off without an
// answer when the process ends.
func TestCancelledRequestsAreAnswered(t *testing.T) {
	h := newHarness(t, 0)
	e, err := fake.StartEngine(fake.EngineConfig{TokenDelay: time.Minute})
	require.NoError(t, err)
	defer e.Close()
	h.engines = append(h.engines, e)
	got := make(chan result, 1)
	go func() { got <- h.stream("rug", 30) }()
	require.Eventually(t, func() bool { return h.handler.InFlight() == 1 && e.Running() == 1 }, 10*time.Second, time.Millisecond)
	idle := h.handler.Drain()
	h.handler.CancelRequests()
	r := <-got
	require.GreaterOrEqual(t, r.status, 500)
	require.NotEqual(t, string(fault.NotRun), r.header.Get(HeaderOutcome))
	<-idle
}
