package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/catalog"
	"github.com/bluebellfield/bluebellfield/fleet"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
	"github.com/bluebellfield/bluebellfield/internal/nettest"
)

// Guards against requests and responses that are modified in transit, and
// against sending a caller's API key to an upstream.
func TestForwardsRequestAndResponse(t *testing.T) {
	u := newUpstream(t, "u", answer("the answer"))
	_, server := newEntry(t, u.record("app", ""))
	got := sendRequest(t, server, "/order/a%2Fb?x=1&y=%20")
	require.Equal(t, 200, got.status)
	require.Equal(t, "the answer", got.body)
	require.Equal(t, "of-u", got.header.Get("Served-By"))
	require.Equal(t, "/order/a%2Fb?x=1&y=%20", u.seen[0].RequestURI)
	require.Equal(t, "h.example", u.seen[0].Host)
	require.Equal(t, "the body", u.bodies[0])
	require.Empty(t, u.seen[0].Header.Get("Key"))
	require.Equal(t, "account", u.seen[0].Header.Get("Account"))
	require.Equal(t, "u", u.seen[0].Header.Get("Expect-Upstream"))
}

// Guards against sending an upstream requests without a route, a valid key or
// an id.
func TestRejectsInvalidRequests(t *testing.T) {
	u := newUpstream(t, "u", answer("ok"))
	_, server := newEntry(t, u.record("app", ""))
	require.Equal(t, 404, sendRequest(t, server, "/nowhere/").status)
	require.Equal(t, 401, sendRequest(t, server, "/read/", func(r *http.Request) { r.Header.Set("Key", "other") }).status)
	require.Equal(t, 400, sendRequest(t, server, "/read/", func(r *http.Request) { r.Header.Del("Id") }).status)
	require.Zero(t, u.requests())
}

// Guards against an entry without a catalog that answers with a permanent error
// instead of asking the caller to retry.
func TestUnavailableWithoutCatalog(t *testing.T) {
	e, server := newEntry(t)
	e.view.Store(nil)
	got := sendRequest(t, server, "/nowhere/")
	require.Equal(t, 503, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// Guards against running a non-idempotent request twice, and against reporting
// a request as not run when it may have run, for each way in which an upstream
// can fail.
func TestFailuresOfPlainUpstreams(t *testing.T) {
	for _, test := range []struct {
		name   string
		path   string
		script handlerFunc
		status int
		// sends is the number of requests received by both upstreams.
		sends int
	}{
		{"lookup is refused", "/read/", refuse(503), 200, 2},
		{"order is refused", "/order/", refuse(503), 200, 2},
		{"order is misdirected", "/order/", refuse(421), 200, 2},
		{"lookup fails", "/read/", fail(500), 200, 2},
		{"order fails", "/order/", fail(500), 500, 1},
		{"lookup is lost", "/read/", resetConnection, 200, 2},
		{"order is lost", "/order/", resetConnection, 502, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			bad := newUpstream(t, "bad", test.script)
			good := newUpstream(t, "good", answer("ok"))
			_, server := newEntry(t, bad.record("app", ""), good.record("app", ""))
			got, sends := sendUntilChosen(t, server, test.path, bad, good)
			require.Equal(t, test.status, got.status, got.body)
			require.Equal(t, test.sends, sends)
			if test.status == 500 {
				require.Equal(t, "of-bad", got.header.Get("Served-By"))
				require.Equal(t, "failed at bad", got.body)
			}
			if test.status == 502 {
				require.Empty(t, got.header.Get("Served-By"))
			}
		})
	}
}

// sendUntilChosen sends requests until one reaches the first upstream. It
// returns the result of that request and the number of attempts made for it.
func sendUntilChosen(t *testing.T, server *httptest.Server, path string, first, second *fakeUpstream) (result, int) {
	for range 50 {
		before := second.requests()
		got := sendRequest(t, server, path)
		if first.requests() > 0 {
			return got, first.requests() + second.requests() - before
		}
	}
	require.Fail(t, "the first upstream was never chosen")
	return result{}, 0
}

// Guards against a wrong response when every upstream refused to run the
// request: the caller must get 503 with Retry-After, which says that the
// request has not run and may be retried.
func TestRefusedByAllUpstreams(t *testing.T) {
	one, two := newUpstream(t, "one", refuse(503)), newUpstream(t, "two", refuse(429))
	_, server := newEntry(t, one.record("app", ""), two.record("app", ""))
	got := sendRequest(t, server, "/order/")
	require.Equal(t, 503, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Empty(t, got.header.Get("Served-By"))
}

// Guards against relaying the response of another request, such as a surplus
// response left on a reused connection.
func TestResponseOfAnotherRequest(t *testing.T) {
	wrong := func(u *fakeUpstream, n int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "another")
		_, _ = io.WriteString(w, "not yours")
	}
	u := newUpstream(t, "u", wrong)
	_, server := newEntry(t, u.record("app", ""))
	got := sendRequest(t, server, "/order/")
	require.Equal(t, 502, got.status)
	require.NotContains(t, got.body, "not yours")
}

// Guards against relaying a truncated response as if it were complete.
func TestTruncatedResponseIsNotRelayed(t *testing.T) {
	truncate := func(u *fakeUpstream, n int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "only the start")
		panic(http.ErrAbortHandler)
	}
	u := newUpstream(t, "u", truncate)
	_, server := newEntry(t, u.record("app", ""))
	got := sendRequest(t, server, "/order/")
	require.Equal(t, 502, got.status)
	require.NotContains(t, got.body, "only the start")
}

// Guards against requests that outlast the timeout of their route.
func TestRouteTimeout(t *testing.T) {
	u := newUpstream(t, "u", func(_ *fakeUpstream, _ int, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	_, server := newEntry(t, u.record("app", ""))
	got := sendRequest(t, server, "/quick/")
	require.Equal(t, 504, got.status)
	require.Less(t, got.took, 800*time.Millisecond)
	require.GreaterOrEqual(t, got.took, 290*time.Millisecond)
}

// Guards against upstreams that continue to work after the caller has
// disconnected.
func TestCallerDisconnects(t *testing.T) {
	canceled := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	u := newUpstream(t, "u", func(_ *fakeUpstream, _ int, _ http.ResponseWriter, r *http.Request) {
		// The caller leaves once its request has reached the upstream.
		cancel()
		<-r.Context().Done()
		close(canceled)
	})
	_, server := newEntry(t, u.record("app", ""))
	sendRequest(t, server, "/read/", func(r *http.Request) { *r = *r.WithContext(ctx) })
	select {
	case <-canceled:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the upstream request was not canceled")
	}
}

// Guards against missing or duplicate events in a stream that is resumed after
// its upstream failed, and against restarting a stream whose route does not
// allow it.
func TestStreams(t *testing.T) {
	for _, test := range []struct {
		name     string
		path     string
		bad      handlerFunc
		want     string
		whole    bool
		sends    int
		servedBy string
	}{
		{"whole", "/chat/", stream(9, nil), events(9), true, 1, "bad"},
		{"broken off and resumed", "/chat/", stream(4, breakOff), events(9), true, 2, "bad"},
		{"broken off before the first event", "/chat/", stream(-1, breakOff), events(9), true, 2, "good"},
		{"stalled and resumed", "/chat/", stream(3, hang), events(9), true, 2, "bad"},
		{"broken off and not resumable", "/once/", stream(4, breakOff), events(4), false, 1, "bad"},
	} {
		t.Run(test.name, func(t *testing.T) {
			bad, good := newUpstream(t, "bad", test.bad), newUpstream(t, "good", stream(9, nil))
			_, server := newEntry(t, bad.record("model", "m"), good.record("model", "m"))
			got, sends := sendUntilChosen(t, server, test.path, bad, good)
			require.Equal(t, test.want, got.body)
			require.Equal(t, test.whole, got.whole)
			require.Equal(t, test.sends, sends)
			require.Equal(t, "of-"+test.servedBy, got.header.Get("Served-By"), "the response keeps the headers of the upstream that started it")
		})
	}
}

// Guards against streams that broke after their objective and wait for the rest
// behind all new requests, until their callers leave. That of a caller that resumes
// is the same.
func TestRestOfStreamIsNotDeferred(t *testing.T) {
	slow := stream(4, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(testObjective + 50*time.Millisecond)
		breakOff(w, r)
	})
	late := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(testObjective + 50*time.Millisecond)
		breakOff(w, r)
	}
	for _, test := range []struct {
		name     string
		bad      handlerFunc
		resumed  bool
		deferred string
	}{
		{"broken after an event", slow, false, "false"},
		{"broken before the first event", stream(-1, late), false, "true"},
		{"resumed by its caller", stream(-1, late), true, "false"},
	} {
		t.Run(test.name, func(t *testing.T) {
			bad, good := newUpstream(t, "bad", test.bad), newUpstream(t, "good", stream(9, nil))
			_, server := newEntry(t, bad.record("model", "m"))
			entry := server.Config.Handler.(*Entry)
			done := make(chan result)
			go func() {
				done <- sendRequest(t, server, "/chat/", func(r *http.Request) {
					if test.resumed {
						r.Header.Set("Resume-After", "2")
					}
				})
			}()
			require.Eventually(t, func() bool { return bad.requests() > 0 }, 5*time.Second, time.Millisecond)
			setUpstreams(t, entry, bad.record("model", "m"), good.record("model", "m"))
			<-done
			require.Equal(t, 1, good.requests())
			require.Equal(t, test.deferred, good.seen[0].Header.Get("Deferred"))
		})
	}
}

// Guards against a stream that appears complete, with an error body appended,
// after the upstream that should resume it failed.
func TestStreamThatCannotGoOnIsCutOff(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusNotFound} {
		script := func(u *fakeUpstream, n int, w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Resume") != "" {
				fail(status)(u, n, w, r)
				return
			}
			stream(4, breakOff)(u, n, w, r)
		}
		one, two := newUpstream(t, "one", script), newUpstream(t, "two", script)
		_, server := newEntry(t, one.record("model", "m"), two.record("model", "m"))
		got := sendRequest(t, server, "/chat/")
		require.Equal(t, events(4), got.body, "status %d", status)
		require.False(t, got.whole, "status %d", status)
		require.Equal(t, 2, one.requests()+two.requests())
	}
}

// Guards against an error, or the head of a response, that reaches the caller in the
// middle of its stream, and against a stream that then ends as if it were complete.
func TestNoErrorInTheMiddleOfStream(t *testing.T) {
	const head = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nfailed: no memory\n\n"
	write := func(status int, contentType, body string) handlerFunc {
		return func(_ *fakeUpstream, _ int, w http.ResponseWriter, _ *http.Request) {
			if contentType != "" {
				w.Header().Set("Content-Type", contentType)
			}
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	const eventStream = "text/event-stream; charset=utf-8"
	for name, answer := range map[string]handlerFunc{
		"refusal":                     refuse(http.StatusServiceUnavailable),
		"error with status 200":       write(http.StatusOK, "application/json", "{\"error\":\"failed\"}\n\n"),
		"page with status 200":        write(http.StatusOK, "text/html", "<p>failed</p>\n\n"),
		"no content":                  write(http.StatusNoContent, "", ""),
		"head in a stream":            write(http.StatusOK, eventStream, head),
		"head in a stream with data":  write(http.StatusOK, eventStream, head+"data: piece\n\n"),
		"error text in a stream":      write(http.StatusOK, eventStream, "upstream connect error\n\n"),
		"JSON in a stream":            write(http.StatusOK, eventStream, "{\"error\":\"failed\"}\n\n"),
		"end of a head in a stream":   write(http.StatusOK, eventStream, "Content-Type: text/plain\n\n"),
		"head at the start of events": write(http.StatusOK, eventStream, "HTTP/1.1 200 OK\r\nid: 5\ndata: piece 5\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			script := func(u *fakeUpstream, n int, w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Resume") != "" {
					answer(u, n, w, r)
					return
				}
				stream(4, breakOff)(u, n, w, r)
			}
			one, two := newUpstream(t, "one", script), newUpstream(t, "two", script)
			_, server := newEntry(t, one.record("model", "m"), two.record("model", "m"))
			got := sendRequest(t, server, "/chat/")
			require.Equal(t, events(4), got.body)
			require.False(t, got.whole)
		})
	}
	t.Run("head in the first stream", func(t *testing.T) {
		bad := newUpstream(t, "bad", stream(4, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, head) }))
		good := newUpstream(t, "good", stream(9, nil))
		_, server := newEntry(t, bad.record("model", "m"), good.record("model", "m"))
		got, sends := sendUntilChosen(t, server, "/chat/", bad, good)
		require.Equal(t, events(9), got.body)
		require.True(t, got.whole)
		require.Equal(t, 2, sends)
	})
}

// Guards against streams that wait for an upstream that does not listen.
func TestUnreachableHeadIsSkipped(t *testing.T) {
	gone := fleet.Upstream{ID: "gone", Service: "model", Address: nettest.RefusingAddress(t), FailureDomain: "z", StartMillis: 1, Sequence: 1, Model: "m",
		Member: fleet.Membership{Group: "g", Epoch: 1, State: fleet.Open}}
	good := newUpstream(t, "good", stream(3, nil))
	_, server := newEntry(t, gone, good.record("model", "m"))
	for range 10 {
		require.Equal(t, events(3), sendRequest(t, server, "/chat/").body)
	}
}

// Guards against refusing requests because attempts at unreachable upstreams
// have used up the retry budget. Those attempts put no load on any upstream.
func TestUnreachableUpstreamUsesNoRetryBudget(t *testing.T) {
	var gone [3]fleet.Upstream
	for n := range gone {
		gone[n] = fleet.Upstream{ID: fmt.Sprint("gone-", n), Service: "app", Address: nettest.RefusingAddress(t), FailureDomain: "z", StartMillis: 1, Sequence: 1, Slots: 6}
	}
	good := newUpstream(t, "good", answer("served"))
	e, server := newEntry(t, gone[0], gone[1], gone[2], good.record("app", ""))
	e.opts.RetryBudget = RetryBudget{Window: 10 * time.Second}
	for range 10 {
		require.Equal(t, "served", sendRequest(t, server, "/order/x").body)
	}
}

// Guards against routing requests to groups that do not serve, that serve
// another model, or whose head is draining.
func TestViewHoldsServingGroupsOnly(t *testing.T) {
	u := newUpstream(t, "u", stream(1, nil))
	head := u.record("model", "m")
	e, server := newEntry(t, head)
	require.Equal(t, 200, sendRequest(t, server, "/chat/").status)
	require.Equal(t, 503, sendRequest(t, server, "/chat/", func(r *http.Request) { r.Header.Set("Model", "other") }).status)
	// A draining member does not close its group: the head serves until it can
	// be replaced and is then closed.
	member := fleet.Upstream{ID: "member", Service: "model", Address: "127.0.0.1:9", StartMillis: 1, Sequence: 1, Phase: fleet.Draining, Model: "m",
		Member: fleet.Membership{Group: head.Member.Group, Epoch: 1, Rank: 1, State: fleet.Formed}}
	apply(t, e, &mesh.Update{Upstreams: []*mesh.Upstream{mesh.EncodeUpstream(&member)}})
	require.Equal(t, 200, sendRequest(t, server, "/chat/").status)
	head.Member.State, head.Sequence = fleet.Closing, 2
	apply(t, e, &mesh.Update{Upstreams: []*mesh.Upstream{mesh.EncodeUpstream(&head)}})
	require.Equal(t, 503, sendRequest(t, server, "/chat/").status)
	head.Member.State, head.Phase, head.Sequence = fleet.Open, fleet.Draining, 3
	apply(t, e, &mesh.Update{Upstreams: []*mesh.Upstream{mesh.EncodeUpstream(&head)}})
	require.Equal(t, 503, sendRequest(t, server, "/chat/").status, "a draining head gets no new requests")
}

// Guards against retries that multiply the load during an outage.
func TestRetryBudget(t *testing.T) {
	limiter, limits := &retryLimiter{}, &RetryBudget{Ratio: 0.2, Allowance: 132, Window: 10 * time.Second}
	now := time.UnixMilli(1_000_000)
	for range 100 {
		limiter.recordFirst(now, limits)
	}
	taken := 0
	for range 1000 {
		if limiter.takeRetry(now, limits, 7) {
			taken++
		}
	}
	require.Equal(t, 27, taken, "0.7 of a fifth of 100 and a seventh of 132")
	require.False(t, limiter.takeRetry(now.Add(9*time.Second), limits, 7))
	require.True(t, limiter.takeRetry(now.Add(10*time.Second), limits, 7), "the window slides")
}

// Guards against retries beyond the budget while all upstreams refuse requests.
func TestRetryBudgetDuringOutage(t *testing.T) {
	one, two := newUpstream(t, "one", refuse(503)), newUpstream(t, "two", refuse(503))
	e, server := newEntry(t, one.record("app", ""), two.record("app", ""))
	e.opts.RetryBudget = RetryBudget{Ratio: 0.2, Allowance: 10, Window: 10 * time.Second}
	for range 60 {
		sendRequest(t, server, "/read/")
	}
	require.LessOrEqual(t, one.requests()+two.requests(), 60+22)
}

// Guards against accepting streams that would queue for longer than their
// callers wait for an event.
func TestCallersOfStreamsLeaveWithoutEvents(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	x := &exchange{started: now, deadline: now.Add(8 * time.Second),
		route: &catalog.Route{Kind: catalog.Stream, SilenceTimeout: 2 * time.Second}}
	require.Equal(t, 1500*time.Millisecond, x.remaining(now.Add(500*time.Millisecond)))
	x.lastEvent = now.Add(3 * time.Second)
	require.Equal(t, 1900*time.Millisecond, x.remaining(now.Add(3100*time.Millisecond)))
	x.lastEvent = now.Add(7 * time.Second)
	require.Equal(t, 800*time.Millisecond, x.remaining(now.Add(7200*time.Millisecond)))
	x.route.Kind = catalog.Idempotent
	require.Equal(t, 7500*time.Millisecond, x.remaining(now.Add(500*time.Millisecond)))
}

// Guards against a stream without length and chunks that is cut off before its
// first event, and reaches the caller as a complete success. A resumed stream may
// have no event left.
func TestUnframedStreamWithoutEvents(t *testing.T) {
	bare := func(u *fakeUpstream, _ int, w http.ResponseWriter, r *http.Request) {
		u.runs.Add(1)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nId: %s\r\n\r\n", r.Header.Get("Id"))
	}
	bad := newUpstream(t, "bad", bare)
	_, server := newEntry(t, bad.record("model", "m"))
	require.Equal(t, http.StatusBadGateway, sendRequest(t, server, "/chat/x").status, "no other upstream")
	resumed := sendRequest(t, server, "/chat/x", func(r *http.Request) { r.Header.Set("Resume-After", "3") })
	require.Equal(t, http.StatusOK, resumed.status)

	good := newUpstream(t, "good", stream(3, nil))
	_, server = newEntry(t, bad.record("model", "m"), good.record("model", "m"))
	for range 8 {
		got := sendRequest(t, server, "/chat/x")
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, events(3), got.body)
	}
}

// Guards against a non-idempotent request that the HTTP transport repeats by itself
// when its answer is lost on a kept connection.
func TestLostAnswerIsNotRepeatedByTheTransport(t *testing.T) {
	for _, test := range []struct {
		name, method, key string
	}{{"GET", http.MethodGet, ""}, {"POST with a key", http.MethodPost, "k"}} {
		t.Run(test.name, func(t *testing.T) {
			u := newUpstream(t, "u", func(u *fakeUpstream, n int, w http.ResponseWriter, r *http.Request) {
				if n%2 == 0 {
					resetConnection(u, n, w, r)
					return
				}
				answer("done")(u, n, w, r)
			})
			_, server := newEntry(t, u.record("app", ""))
			for n := range 6 {
				got := sendRequest(t, server, "/order/x", func(r *http.Request) {
					r.Method, r.Body, r.ContentLength = test.method, http.NoBody, 0
					r.Header.Set("Id", fmt.Sprint("request-", n))
					if test.key != "" {
						r.Header.Set("Idempotency-Key", test.key)
					}
				})
				require.Equal(t, n+1, u.requests(), "each request must arrive exactly once")
				if n%2 == 1 {
					require.Equal(t, http.StatusBadGateway, got.status)
				}
			}
		})
	}
}

// Guards against the page of another system's server that reaches a caller as the
// answer to its request, also on a connection that has served no other request.
func TestAnswerOfAnotherSystemIsNoSuccess(t *testing.T) {
	for name, spoil := range map[string]func(http.Header){
		"no id":        func(h http.Header) { h.Del("Id") },
		"no signature": func(h http.Header) { h.Set("Unsigned", "1") },
	} {
		for _, path := range []string{"/order/x", "/read/x", "/chat/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				foreign := newUpstream(t, "foreign", func(u *fakeUpstream, n int, w http.ResponseWriter, r *http.Request) {
					spoil(w.Header())
					if path == "/chat/x" {
						stream(2, nil)(u, n, w, r)
						return
					}
					answer("<html>")(u, n, w, r)
				})
				service, model := "app", ""
				if path == "/chat/x" {
					service, model = "model", "m"
				}
				_, server := newEntry(t, foreign.record(service, model))
				got := sendRequest(t, server, path)
				require.Equal(t, http.StatusBadGateway, got.status, "it may have run")
				require.NotContains(t, got.body, "<html>")
			})
		}
	}
}

// Guards against a request without an answer after its upstream has changed the
// protocol unasked and sends nothing more.
func TestUnsolicitedChangeOfProtocolIsAnswered(t *testing.T) {
	for _, path := range []string{"/quick/x", "/order/x"} {
		u := newUpstream(t, "u", func(_ *fakeUpstream, _ int, w http.ResponseWriter, r *http.Request) {
			conn, out, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = out.WriteString("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\nId: " + r.Header.Get("Id") + "\r\n\r\n")
			_ = out.Flush()
			_, _ = io.Copy(io.Discard, conn)
		})
		_, server := newEntry(t, u.record("app", ""))
		got := sendRequest(t, server, path)
		require.Equal(t, http.StatusBadGateway, got.status)
		require.Less(t, got.took, 2*time.Second)
	}
}

// Guards against a path or query that reaches the upstream changed.
func TestRequestURIIsForwardedUnchanged(t *testing.T) {
	u := newUpstream(t, "u", answer("ok"))
	_, server := newEntry(t, u.record("app", ""))
	for _, uri := range []string{"/read/a|b", "/read/{a}?x=|y", "/read/a%7Cb", "/read/a#b", "/read/?"} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		require.NoError(t, err)
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h.example\r\nId: request-1\r\nKey: key\r\nConnection: close\r\n\r\n", uri)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, conn)
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		u.mu.Lock()
		require.Equal(t, uri, u.seen[len(u.seen)-1].RequestURI)
		u.mu.Unlock()
	}
}
