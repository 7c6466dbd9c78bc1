package entry

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/mesh"
)

// leaving adds to a script that its answers say that the upstream is leaving.
func leaving(script handlerFunc) handlerFunc {
	return func(u *fakeUpstream, n int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		script(u, n, w, r)
	}
}

// Guards against requests that reach an upstream after one of its answers has said
// that it is leaving, whatever the answer was: also after its heartbeats say again
// that it is ready, and after an older list of upstreams.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	for _, test := range []struct {
		name, path, service, model string
		script                     handlerFunc
	}{
		{"answer", "/read/x", "app", "", answer("ok")},
		{"refusal", "/read/x", "app", "", refuse(http.StatusServiceUnavailable)},
		{"misdirected", "/read/x", "app", "", refuse(http.StatusMisdirectedRequest)},
		{"failure", "/order/x", "app", "", fail(http.StatusInternalServerError)},
		{"head of a stream", "/chat/x", "model", "m", stream(2, nil)},
	} {
		t.Run(test.name, func(t *testing.T) {
			told, other := newUpstream(t, "told", leaving(test.script)), newUpstream(t, "other", test.script)
			record := told.record(test.service, test.model)
			e, server := newEntry(t, record)
			send := func(n int) {
				sendRequest(t, server, test.path, func(r *http.Request) { r.Header.Set("Id", fmt.Sprint("request-", n)) })
			}
			send(0)
			require.Equal(t, 1, told.requests())
			require.True(t, e.limits.Leaving((&target{upstream: record}).process()))

			otherRecord := other.record(test.service, test.model)
			later := record
			later.Sequence++
			older := &mesh.Update{Complete: true, Entries: 1, Upstreams: []*mesh.Upstream{mesh.EncodeUpstream(&record), mesh.EncodeUpstream(&otherRecord)}}
			newer := &mesh.Update{Complete: true, Entries: 1, Upstreams: []*mesh.Upstream{mesh.EncodeUpstream(&later)}}
			for n, update := range []*mesh.Update{older, newer, older} {
				apply(t, e, update)
				for i := range 10 {
					send(1 + 10*n + i)
				}
			}
			require.Equal(t, 1, told.requests())
			require.Positive(t, other.requests())

			next := record
			next.StartMillis, next.Sequence = record.StartMillis+1, 1
			setUpstreams(t, e, next)
			send(100)
			require.Equal(t, 2, told.requests(), "a new incarnation starts clean")
		})
	}
}

// Guards against a request that is held or repeated although all upstreams leave, and
// against counting a departure as a failure of the upstream.
func TestAllUpstreamsLeave(t *testing.T) {
	a, b := newUpstream(t, "a", leaving(answer("ok"))), newUpstream(t, "b", leaving(answer("ok")))
	_, server := newEntry(t, a.record("app", ""), b.record("app", ""))
	statuses := map[int]int{}
	for n := range 12 {
		got := sendRequest(t, server, "/read/x", func(r *http.Request) { r.Header.Set("Id", fmt.Sprint("request-", n)) })
		statuses[got.status]++
		if got.status != http.StatusOK {
			require.NotEmpty(t, got.header.Get("Retry-After"))
		}
	}
	require.Equal(t, map[int]int{http.StatusOK: 2, http.StatusServiceUnavailable: 10}, statuses)
	require.Equal(t, 2, a.requests()+b.requests())
}
