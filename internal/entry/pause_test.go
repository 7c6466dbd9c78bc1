package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pausing refuses requests and asks for a pause.
func pausing(header string) handlerFunc {
	return func(u *fakeUpstream, n int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", header)
		refuse(http.StatusServiceUnavailable)(u, n, w, r)
	}
}

// firstOnly runs a script for the first request, and then the other one.
func firstOnly(first, then handlerFunc) handlerFunc {
	return func(u *fakeUpstream, n int, w http.ResponseWriter, r *http.Request) {
		if n == 1 {
			first(u, n, w, r)
			return
		}
		then(u, n, w, r)
	}
}

// Guards against requests that reach an upstream during the pause that it has asked
// this entry for, and against treating the pause as a failure: it gets requests again
// at its end.
func TestPausedUpstreamGetsNoRequests(t *testing.T) {
	for _, test := range []struct{ name, path, service, model string }{
		{"plain", "/read/x", "app", ""}, {"not idempotent", "/order/x", "app", ""}, {"stream", "/chat/x", "model", "m"},
	} {
		t.Run(test.name, func(t *testing.T) {
			served := answer("ok")
			if test.model != "" {
				served = stream(2, nil)
			}
			paused, other := newUpstream(t, "paused", firstOnly(pausing("0.7"), served)), newUpstream(t, "other", served)
			e, server := newEntry(t, paused.record(test.service, test.model), other.record(test.service, test.model))
			number := 0
			send := func() int {
				number++
				return sendRequest(t, server, test.path, func(r *http.Request) { r.Header.Set("Id", fmt.Sprint("request-", number)) }).status
			}
			for paused.requests() == 0 {
				require.Equal(t, http.StatusOK, send(), "another upstream serves it")
			}
			asked := time.Now()
			for time.Since(asked) < 600*time.Millisecond {
				require.Equal(t, http.StatusOK, send())
				require.Equal(t, 1, paused.requests())
			}
			record := paused.record(test.service, test.model)
			require.False(t, (&target{upstream: record}).avoided(time.Now()))
			for _, target := range e.targets {
				require.False(t, target.avoided(time.Now()), "a pause is no failure")
			}
			require.Eventually(t, func() bool { send(); return paused.requests() > 1 }, 2*time.Second, time.Millisecond)
			require.Greater(t, time.Since(asked), 600*time.Millisecond)
		})
	}
}

// Guards against a request that waits or is repeated although all upstreams have asked
// for a pause, and against callers that are told to return before its end or all at
// the same moment.
func TestAllUpstreamsPause(t *testing.T) {
	a, b := newUpstream(t, "a", pausing("2")), newUpstream(t, "b", pausing("4"))
	_, server := newEntry(t, a.record("app", ""), b.record("app", ""))
	started := time.Now()
	returns := map[time.Duration]bool{}
	for n := range 30 {
		got := sendRequest(t, server, "/read/x", func(r *http.Request) { r.Header.Set("Id", fmt.Sprint("request-", n)) })
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Less(t, got.took, 500*time.Millisecond, "refused at once")
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		if a.requests() == 0 || b.requests() == 0 {
			continue
		}
		at := time.Since(started) + time.Duration(seconds*float64(time.Second))
		require.Greater(t, at, 1900*time.Millisecond)
		require.Less(t, at, 4*time.Second, "the shortest pause counts")
		returns[at.Truncate(50*time.Millisecond)] = true
	}
	require.Equal(t, 2, a.requests()+b.requests())
	require.Greater(t, len(returns), 5, "callers return at different moments")
}

// Guards against odd values that take an upstream out, or keep it in.
func TestOddPauses(t *testing.T) {
	for value, paused := range map[string]bool{"": false, "-3": false, "NaN": false, "0": false, "soon": false,
		"1000000000000000000": true, time.Now().Add(time.Minute).UTC().Format(http.TimeFormat): true} {
		t.Run(value, func(t *testing.T) {
			u := newUpstream(t, "u", pausing(value))
			record := u.record("app", "")
			e, server := newEntry(t, record)
			sendRequest(t, server, "/read/x")
			left := e.limits.BlockedFor((&target{upstream: record}).process())
			require.Equal(t, paused, left > 0)
			require.LessOrEqual(t, left, 5*time.Minute)
			next := record
			next.StartMillis++
			require.Zero(t, e.limits.BlockedFor((&target{upstream: next}).process()), "a new incarnation starts clean")
		})
	}
}
