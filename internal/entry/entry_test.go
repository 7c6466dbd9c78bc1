package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/catalog"
	"github.com/bluebellfield/bluebellfield/fleet"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
)

// Guards against a request that is changed on its way, a key that reaches an
// upstream, and an answer that is not the upstream's.
func TestPassesRequestAndAnswerOn(t *testing.T) {
	u := newUpstream(t, "u", answer("the answer"))
	_, server := newEntry(t, u.record("app", ""))
	got := do(t, server, "/order/a%2Fb?x=1&y=%20")
	require.Equal(t, 200, got.status)
	require.Equal(t, "the answer", got.body)
	require.Equal(t, "of-u", got.header.Get("Seal"))
	require.Equal(t, "/order/a%2Fb?x=1&y=%20", u.seen[0].RequestURI)
	require.Equal(t, "h.example", u.seen[0].Host)
	require.Equal(t, "the body", u.bodies[0])
	require.Empty(t, u.seen[0].Header.Get("Key"))
	require.Equal(t, "account", u.seen[0].Header.Get("Account"))
	require.Equal(t, "u", u.seen[0].Header.Get("Expect-Upstream"))
}

// Guards against requests that reach an upstream without a route, a key or an id.
func TestRejects(t *testing.T) {
	u := newUpstream(t, "u", answer("ok"))
	_, server := newEntry(t, u.record("app", ""))
	require.Equal(t, 404, do(t, server, "/nowhere/").status)
	require.Equal(t, 401, do(t, server, "/read/", func(r *http.Request) { r.Header.Set("Key", "other") }).status)
	require.Equal(t, 400, do(t, server, "/read/", func(r *http.Request) { r.Header.Del("Id") }).status)
	require.Zero(t, u.requests())
}

// Guards against an entry without a catalog that denies what it cannot judge.
func TestWithoutCatalogNothingIsDenied(t *testing.T) {
	e, server := newEntry(t)
	e.view.Store(nil)
	got := do(t, server, "/nowhere/")
	require.Equal(t, 503, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// Guards against a request that runs twice, or is told not to have run when it
// may have, by the ways in which an upstream fails it.
func TestFailuresOfPlainUpstreams(t *testing.T) {
	for _, test := range []struct {
		name   string
		path   string
		script handlerFunc
		status int
		// sends is the number of requests at both upstreams together.
		sends int
	}{
		{"lookup is refused", "/read/", refuse(503), 200, 2},
		{"order is refused", "/order/", refuse(503), 200, 2},
		{"order is misdirected", "/order/", refuse(421), 200, 2},
		{"lookup fails", "/read/", fail(500), 200, 2},
		{"order fails", "/order/", fail(500), 500, 1},
		{"lookup is lost", "/read/", reset, 200, 2},
		{"order is lost", "/order/", reset, 502, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			bad := newUpstream(t, "bad", test.script)
			good := newUpstream(t, "good", answer("ok"))
			_, server := newEntry(t, bad.record("app", ""), good.record("app", ""))
			got, sends := doAt(t, server, test.path, bad, good)
			require.Equal(t, test.status, got.status, got.body)
			require.Equal(t, test.sends, sends)
			if test.status == 500 {
				require.Equal(t, "of-bad", got.header.Get("Seal"))
				require.Equal(t, "failed at bad", got.body)
			}
			if test.status == 502 {
				require.Empty(t, got.header.Get("Seal"))
			}
		})
	}
}

// doAt makes requests until one was sent to the first upstream, and returns
// its result and the number of its sends.
func doAt(t *testing.T, server *httptest.Server, path string, first, second *fakeUpstream) (result, int) {
	for range 50 {
		before := second.requests()
		got := do(t, server, path)
		if first.requests() > 0 {
			return got, first.requests() + second.requests() - before
		}
	}
	require.Fail(t, "the first upstream was never chosen")
	return result{}, 0
}

// Guards against a promise that a request has not run while it has: with every
// upstream refusing it, the caller may come back.
func TestRefusedEverywhere(t *testing.T) {
	one, two := newUpstream(t, "one", refuse(503)), newUpstream(t, "two", refuse(429))
	_, server := newEntry(t, one.record("app", ""), two.record("app", ""))
	got := do(t, server, "/order/")
	require.Equal(t, 503, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Empty(t, got.header.Get("Seal"))
}

// Guards against an answer of another request, which a late extra answer on a
// kept connection can be.
func TestAnswerOfAnotherRequest(t *testing.T) {
	wrong := func(u *fakeUpstream, n int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "another")
		_, _ = io.WriteString(w, "not yours")
	}
	u := newUpstream(t, "u", wrong)
	_, server := newEntry(t, u.record("app", ""))
	got := do(t, server, "/order/")
	require.Equal(t, 502, got.status)
	require.NotContains(t, got.body, "not yours")
}

// Guards against an answer that was cut off and looks complete.
func TestCutAnswerIsNotPassedOn(t *testing.T) {
	cut := func(u *fakeUpstream, n int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "only the start")
		panic(http.ErrAbortHandler)
	}
	u := newUpstream(t, "u", cut)
	_, server := newEntry(t, u.record("app", ""))
	got := do(t, server, "/order/")
	require.Equal(t, 502, got.status)
	require.NotContains(t, got.body, "only the start")
}

// Guards against a request that is held past its route's timeout.
func TestTimeoutOfTheRoute(t *testing.T) {
	u := newUpstream(t, "u", func(_ *fakeUpstream, _ int, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	_, server := newEntry(t, u.record("app", ""))
	got := do(t, server, "/quick/")
	require.Equal(t, 504, got.status)
	require.Less(t, got.took, 800*time.Millisecond)
	require.GreaterOrEqual(t, got.took, 290*time.Millisecond)
}

// Guards against upstreams that work on for callers who have left.
func TestCallerLeaves(t *testing.T) {
	cancelled := make(chan struct{})
	u := newUpstream(t, "u", func(_ *fakeUpstream, _ int, _ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	})
	_, server := newEntry(t, u.record("app", ""))
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	do(t, server, "/read/", func(r *http.Request) { *r = *r.WithContext(ctx) })
	select {
	case <-cancelled:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the upstream still works")
	}
}

// Guards against a stream with a missing or a doubled event after its upstream
// broke off, and against one that may run once being started again.
func TestStreams(t *testing.T) {
	for _, test := range []struct {
		name  string
		path  string
		bad   handlerFunc
		want  string
		whole bool
		sends int
		seal  string
	}{
		{"whole", "/chat/", stream(9, nil), events(9), true, 1, "bad"},
		{"broken off and resumed", "/chat/", stream(4, breakOff), events(9), true, 2, "bad"},
		{"broken off before the first event", "/chat/", stream(-1, breakOff), events(9), true, 2, "good"},
		{"stands still and is resumed", "/chat/", stream(3, hang), events(9), true, 2, "bad"},
		{"broken off and not resumable", "/once/", stream(4, breakOff), events(4), false, 1, "bad"},
	} {
		t.Run(test.name, func(t *testing.T) {
			bad, good := newUpstream(t, "bad", test.bad), newUpstream(t, "good", stream(9, nil))
			_, server := newEntry(t, bad.record("model", "m"), good.record("model", "m"))
			got, sends := doAt(t, server, test.path, bad, good)
			require.Equal(t, test.want, got.body)
			require.Equal(t, test.whole, got.whole)
			require.Equal(t, test.sends, sends)
			require.Equal(t, "of-"+test.seal, got.header.Get("Seal"), "the answer keeps the headers of the upstream that began it")
		})
	}
}

// Guards against a stream that ends as if it were whole, with a failure's body
// in it, when the upstream that was to go on with it fails.
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
		got := do(t, server, "/chat/")
		require.Equal(t, events(4), got.body, "status %d", status)
		require.False(t, got.whole, "status %d", status)
		require.Equal(t, 2, one.requests()+two.requests())
	}
}

// Guards against streams that wait for an upstream without a listener.
func TestUnreachableHeadIsPassedOver(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gone := fleet.Upstream{ID: "gone", Service: "model", Address: listener.Addr().String(), FailureDomain: "z", Born: 1, Sequence: 1, Model: "m",
		Member: fleet.Membership{Group: "g", Epoch: 1, State: fleet.Open}}
	require.NoError(t, listener.Close())
	good := newUpstream(t, "good", stream(3, nil))
	_, server := newEntry(t, gone, good.record("model", "m"))
	for range 10 {
		require.Equal(t, events(3), do(t, server, "/chat/").body)
	}
}

// Guards against requests that are refused because others found an upstream
// without a listener: what no upstream received is no repeated load.
func TestUnreachableUpstreamCostsNoBudget(t *testing.T) {
	var gone [3]fleet.Upstream
	for n := range gone {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		gone[n] = fleet.Upstream{ID: fmt.Sprint("gone-", n), Service: "app", Address: listener.Addr().String(), FailureDomain: "z", Born: 1, Sequence: 1, Slots: 6}
		require.NoError(t, listener.Close())
	}
	good := newUpstream(t, "good", answer("served"))
	e, server := newEntry(t, gone[0], gone[1], gone[2], good.record("app", ""))
	e.o.Budget = Budget{Window: 10 * time.Second}
	for range 10 {
		require.Equal(t, "served", do(t, server, "/order/x").body)
	}
}

// Guards against requests to groups that do not serve, are of another model, or
// have a head that leaves.
func TestViewHoldsServingGroupsOnly(t *testing.T) {
	u := newUpstream(t, "u", stream(1, nil))
	head := u.record("model", "m")
	e, server := newEntry(t, head)
	require.Equal(t, 200, do(t, server, "/chat/").status)
	require.Equal(t, 503, do(t, server, "/chat/", func(r *http.Request) { r.Header.Set("Model", "other") }).status)
	// A member that leaves stays while the head has work; the head is closed
	// when it can be replaced.
	member := fleet.Upstream{ID: "member", Service: "model", Address: "127.0.0.1:9", Born: 1, Sequence: 1, Phase: fleet.Draining, Model: "m",
		Member: fleet.Membership{Group: head.Member.Group, Epoch: 1, Rank: 1, State: fleet.Formed}}
	apply(t, e, &mesh.Update{Upstreams: []*mesh.Upstream{mesh.EncodeUpstream(&member)}})
	require.Equal(t, 200, do(t, server, "/chat/").status)
	head.Member.State, head.Sequence = fleet.Closing, 2
	apply(t, e, &mesh.Update{Upstreams: []*mesh.Upstream{mesh.EncodeUpstream(&head)}})
	require.Equal(t, 503, do(t, server, "/chat/").status)
	head.Member.State, head.Phase, head.Sequence = fleet.Open, fleet.Draining, 3
	apply(t, e, &mesh.Update{Upstreams: []*mesh.Upstream{mesh.EncodeUpstream(&head)}})
	require.Equal(t, 503, do(t, server, "/chat/").status, "a head that leaves takes no new work")
}

// Guards against retries that multiply the load of an outage.
func TestRetryBudget(t *testing.T) {
	b, bound := &budget{}, &Budget{Ratio: 0.2, Allowance: 132, Window: 10 * time.Second}
	now := time.UnixMilli(1_000_000)
	for range 100 {
		b.first(now, bound)
	}
	taken := 0
	for range 1000 {
		if b.take(now, bound, 7) {
			taken++
		}
	}
	require.Equal(t, 27, taken, "0.7 of a fifth of 100 and a seventh of 132")
	require.False(t, b.take(now.Add(9*time.Second), bound, 7))
	require.True(t, b.take(now.Add(10*time.Second), bound, 7), "the window slides")
}

// Guards against sends beyond the budget in an outage of all upstreams.
func TestOutageIsNotMultiplied(t *testing.T) {
	one, two := newUpstream(t, "one", refuse(503)), newUpstream(t, "two", refuse(503))
	e, server := newEntry(t, one.record("app", ""), two.record("app", ""))
	e.o.Budget = Budget{Ratio: 0.2, Allowance: 10, Window: 10 * time.Second}
	for range 60 {
		do(t, server, "/read/")
	}
	require.LessOrEqual(t, one.requests()+two.requests(), 60+22)
}

// Guards against streams that are accepted to wait in a queue for longer than
// their callers wait for an event.
func TestCallersOfStreamsLeaveWithoutEvents(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	x := &exchange{started: now, deadline: now.Add(8 * time.Second),
		route: &catalog.Route{Kind: catalog.Stream, SilencePatience: 2 * time.Second}}
	require.Equal(t, 1500*time.Millisecond, x.remaining(now.Add(500*time.Millisecond)))
	x.lastEvent = now.Add(3 * time.Second)
	require.Equal(t, 1900*time.Millisecond, x.remaining(now.Add(3100*time.Millisecond)))
	x.lastEvent = now.Add(7 * time.Second)
	require.Equal(t, 800*time.Millisecond, x.remaining(now.Add(7200*time.Millisecond)))
	x.route.Kind = catalog.Idempotent
	require.Equal(t, 7500*time.Millisecond, x.remaining(now.Add(500*time.Millisecond)))
}
