package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bluebellfield/bluebellfield/fleet"
	"github.com/bluebellfield/bluebellfield/quarantine"
)

// Guards against logs from which it does not follow that two requests whose
// upstreams ended are copies of one, or have a part of their prompts in common.
func TestBrokenSendsNameTheRequest(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	u := newUpstream(t, "u", resetConnection)
	_, server := newLoggedEntry(t, zap.New(core), u.record("app", ""))
	withParts := func(r *http.Request) { r.Header.Set("Parts", "system,subject,own") }
	for _, path := range []string{"/order/same", "/order/same", "/order/other"} {
		require.Equal(t, http.StatusBadGateway, sendRequest(t, server, path, withParts).status)
	}
	var digests []any
	for _, line := range logs.FilterMessage("request").All() {
		fields := line.ContextMap()
		require.Equal(t, []any{"system", "subject", "own"}, fields["parts"])
		digests = append(digests, fields["digest"])
	}
	require.Len(t, digests, 3)
	require.NotEmpty(t, digests[0])
	require.Equal(t, digests[0], digests[1])
	require.NotEqual(t, digests[0], digests[2])
}

// Guards against holding a request that is known to crash upstreams until its
// deadline, and against refusing others of the same caller with it.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	u := newUpstream(t, "u", answer("ok"))
	e, server := newEntry(t, u.record("app", ""))
	now := time.Now()
	culprit := quarantine.DigestOf("account", "POST h.example/read/culprit", []byte("the body"))
	e.crashes.Tracker().Merge(now, quarantine.Message{From: "other", Verdicts: []quarantine.Verdict{{Digest: culprit, Until: now.Add(time.Minute)}}})
	got := sendRequest(t, server, "/read/culprit")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Less(t, got.took, time.Second)
	retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.InDelta(t, time.Minute.Seconds(), retryAfter, 5)
	require.Zero(t, u.requests(), "not run")
	require.Equal(t, http.StatusOK, sendRequest(t, server, "/read/other").status)
}

// Guards against logs that do not tell which part of the prompt a request was
// refused for: verdicts and requests name parts differently.
func TestRefusalNamesTheQuarantinedPart(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	u := newUpstream(t, "u", answer("not asked"))
	e, server := newLoggedEntry(t, zap.New(core), u.record("model", "m"))
	now := time.Now()
	culprit := quarantine.PartDigest("model", "subject")
	e.crashes.Tracker().Merge(now, quarantine.Message{From: "other", Verdicts: []quarantine.Verdict{{Digest: culprit, Until: now.Add(time.Minute)}}})
	withParts := func(r *http.Request) { r.Header.Set("Parts", "system,subject,own") }
	require.Equal(t, http.StatusServiceUnavailable, sendRequest(t, server, "/chat/x", withParts).status)
	verdict := logs.FilterMessage("request quarantined").All()[0].ContextMap()
	require.Equal(t, "prompt part", verdict["kind"])
	refusal := logs.FilterMessage("request").All()[0].ContextMap()
	require.Equal(t, verdict["digest"], refusal["culprit"])
	require.Equal(t, "subject", refusal["culpritPart"])
}

// Guards against a part that is unknown to quarantine at a plain service: the routes
// of prompts may be moved to one or be divided between one and engines.
func TestPromptPartIsRefusedAtPlainService(t *testing.T) {
	u := newUpstream(t, "u", answer("ok"))
	e, server := newEntry(t, u.record("app", ""))
	now := time.Now()
	culprit := quarantine.PartDigest("app", "subject")
	e.crashes.Tracker().Merge(now, quarantine.Message{From: "other", Verdicts: []quarantine.Verdict{{Digest: culprit, Until: now.Add(time.Minute)}}})
	for parts, want := range map[string]int{"system,subject,own": http.StatusServiceUnavailable, "system,subject": http.StatusOK, "": http.StatusOK} {
		withParts := func(r *http.Request) { r.Header.Set("Parts", parts) }
		require.Equal(t, want, sendRequest(t, server, "/read/x", withParts).status, parts)
	}
}

// Guards against blaming a popular request for upstreams that end by themselves
// while copies of it are in flight.
func TestPopularRequestSurvivesCrashes(t *testing.T) {
	const crashes = 4
	e, server := newEntry(t)
	last := newUpstream(t, "last", answer("ok"))
	for n := range crashes {
		ending := newUpstream(t, fmt.Sprint("u", n), func(_ *fakeUpstream, _ int, w http.ResponseWriter, r *http.Request) { hang(w, r) })
		setUpstreams(t, e, last.record("app", ""))
		require.Equal(t, http.StatusOK, sendRequest(t, server, "/read/popular").status)
		setUpstreams(t, e, ending.record("app", ""))
		time.AfterFunc(50*time.Millisecond, func() {
			setUpstreams(t, e, ending.record("app", ""), last.record("app", ""))
			_ = ending.server.Listener.Close()
			ending.server.CloseClientConnections()
		})
		require.Equal(t, http.StatusOK, sendRequest(t, server, "/read/popular").status, "the copy in flight moves")
		require.True(t, e.crashes.Tracker().KnownCrash(quarantine.Target{Upstream: ending.id, Incarnation: 1}))
	}
}

// Guards against taking a cut for crashes: when the connections to a failure
// domain are reset and refused, requests that were in flight there are not to
// blame. Guards also against missing the crash of the only upstream of a domain.
func TestCutDomainIsNoCrash(t *testing.T) {
	for _, test := range []struct {
		name string
		// upstreams are in the domain, and cut of them end together.
		upstreams, cut int
		// entry is set if another entry in the domain accepts connections.
		entry, want bool
	}{
		{"one upstream ends", 3, 1, false, true},
		{"all upstreams of the domain are out of reach", 3, 3, false, false},
		{"the only upstream of the domain ends", 1, 1, true, true},
		{"the whole domain is out of reach", 1, 1, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			other, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer other.Close()
			e, server := newEntry(t)
			if !test.entry {
				require.NoError(t, other.Close())
			}
			listEntry(e, other.Addr().String(), "far")
			script := func(_ *fakeUpstream, _ int, w http.ResponseWriter, r *http.Request) { hang(w, r) }
			near := newUpstream(t, "near", answer("ok"))
			var far []*fakeUpstream
			var records []fleet.Upstream
			for n := range test.upstreams {
				u := newUpstream(t, fmt.Sprint("far-", n), script)
				record := u.record("app", "")
				record.FailureDomain = "far"
				if n > 0 {
					record.Service = "other"
				}
				far, records = append(far, u), append(records, record)
			}
			setUpstreams(t, e, records...)
			time.AfterFunc(50*time.Millisecond, func() {
				setUpstreams(t, e, append(records, near.record("app", ""))...)
				for _, u := range far[:test.cut] {
					_ = u.server.Listener.Close()
				}
				for _, u := range far[:test.cut] {
					u.server.CloseClientConnections()
				}
			})
			require.Equal(t, http.StatusOK, sendRequest(t, server, "/read/x").status)
			require.Equal(t, test.want, e.crashes.Tracker().KnownCrash(quarantine.Target{Upstream: "far-0", Incarnation: 1}))
		})
	}
}

// listEntry makes a control instance report another entry as reachable. The id of
// an entry is its address here.
func listEntry(e *Entry, address, failureDomain string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sources[controlID] = &updateSource{lastUpdate: time.Now(), reachable: []string{address},
		reachableDomains: map[string]string{address: failureDomain}}
}

// Guards against taking the planned exit of an upstream for a crash: requests that
// it breaks off are not to blame, and one that stops to listen while it finishes its
// answers has not cut them off.
func TestLeavingUpstreamIsNoCrash(t *testing.T) {
	for _, test := range []struct {
		name    string
		phase   fleet.Phase
		crashed bool
	}{
		{"ready", fleet.Ready, true},
		{"draining", fleet.Draining, false},
		{"deregistered", fleet.Gone, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var e *Entry
			witness := newUpstream(t, "witness", answer("ok"))
			// Sends a whole stream that ends with its connection, or breaks one off.
			leave := func(u *fakeUpstream, _ int, w http.ResponseWriter, r *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				left := u.record("model", "m")
				left.Phase, left.Sequence = test.phase, 2
				setUpstreams(t, e, left, witness.record("other", ""))
				_ = u.server.Listener.Close()
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nId: %s\r\n\r\n%s", r.Header.Get("Id"), events(3))
				if r.Header.Get("Break") != "" {
					_, _ = io.WriteString(conn, "id: 4\nda")
				}
			}
			for _, breaks := range []bool{false, true} {
				u := newUpstream(t, "leaving", leave)
				var server *httptest.Server
				e, server = newEntry(t, u.record("model", "m"), witness.record("other", ""))
				got := sendRequest(t, server, "/once/x", func(r *http.Request) {
					if breaks {
						r.Header.Set("Break", "1")
					}
				})
				require.Equal(t, !test.crashed && !breaks, got.whole)
				require.Equal(t, events(3), got.body)
				require.Equal(t, test.crashed, e.crashes.Tracker().KnownCrash(quarantine.Target{Upstream: "leaving", Incarnation: 1}))
			}
		})
	}
}
