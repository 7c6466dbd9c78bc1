package upstream

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/membership"
)

// fakeRegistry counts the reports and returns err for each.
type fakeRegistry struct {
	err     error
	reports int
}

func (r *fakeRegistry) Announce(membership.Announcement) (membership.Lease, error) {
	r.reports++
	return membership.Lease{HeartbeatMillis: 1000}, r.err
}

func (r *fakeRegistry) Heartbeat(membership.Heartbeat) (membership.Lease, error) {
	r.reports++
	return membership.Lease{Announce: true}, r.err
}

func (r *fakeRegistry) CacheEvents(CacheEvents) error {
	r.reports++
	return r.err
}

// A report that cannot be decoded must be rejected without reaching the registry.
// The reply must carry the lease or the error of the registry.
func TestReports(t *testing.T) {
	refusal := func(code fault.Code) error { return fault.New(code, fault.Location{}, fault.NotRun, "no") }
	large := `{"id":"` + strings.Repeat("x", maxReportBytes) + `"}`
	cases := []struct {
		name, method, path, body string
		err                      error
		status, reports          int
		answer                   string
	}{
		{"announcement", "POST", PathAnnouncements, `{"id":"u","address":"10.0.0.9:80"}`, nil, 200, 1, `"heartbeatMillis":1000`},
		{"heartbeat", "POST", PathHeartbeats, `{"id":"u"}`, nil, 200, 1, `"announce":true`},
		{"cache events", "POST", PathCacheEvents, `{"id":"u"}`, nil, 204, 1, ""},
		{"malformed announcement", "POST", PathAnnouncements, `{`, nil, 400, 0, "decode report"},
		{"malformed heartbeat", "POST", PathHeartbeats, `[]`, nil, 400, 0, "decode report"},
		{"malformed cache events", "POST", PathCacheEvents, ``, nil, 400, 0, "decode report"},
		{"large announcement", "POST", PathAnnouncements, large, nil, 413, 0, ""},
		{"large cache events", "POST", PathCacheEvents, large, nil, 413, 0, ""},
		{"unknown path", "POST", "/v1/other", `{}`, nil, 404, 0, ""},
		{"wrong method", "GET", PathHeartbeats, ``, nil, 405, 0, ""},
		{"registry unavailable", "POST", PathHeartbeats, `{}`, refusal(fault.Unavailable), 503, 1, "no"},
		{"registry refuses", "POST", PathAnnouncements, `{"id":"u","address":"10.0.0.9:80"}`, refusal(fault.Conflict), 409, 1, "no"},
		{"announcement without an id", "POST", PathAnnouncements, `{"address":"10.0.0.9:80"}`, nil, 400, 0, "id"},
		{"announcement with a port out of range", "POST", PathAnnouncements, `{"id":"u","address":"10.0.0.9:70000"}`, nil, 400, 0, "port"},
		{"announcement with a control character", "POST", PathAnnouncements, `{"id":"u\u0000","address":"10.0.0.9:80"}`, nil, 400, 0, "control character"},
		{"announcement with a long id", "POST", PathAnnouncements, `{"id":"` + strings.Repeat("u", 300) + `","address":"10.0.0.9:80"}`, nil, 400, 0, "longer"},
		{"heartbeat with a control character", "POST", PathHeartbeats, `{"id":"u\n"}`, nil, 400, 0, "control character"},
		{"announcement without an address", "POST", PathAnnouncements, `{"id":"u"}`, nil, 400, 0, "address"},
		{"announcement of too many slots", "POST", PathAnnouncements, `{"id":"u","address":"10.0.0.9:80","maxConcurrent":9000000000000000000}`, nil, 400, 0, "maxConcurrent"},
		{"announcement of negative slots", "POST", PathAnnouncements, `{"id":"u","address":"10.0.0.9:80","maxConcurrent":-1}`, nil, 400, 0, "maxConcurrent"},
		{"announcement with a number too large", "POST", PathAnnouncements, `{"id":"u","address":"10.0.0.9:80","maxConcurrent":1e400}`, nil, 400, 0, "decode report"},
		{"deeply nested announcement", "POST", PathAnnouncements, `{"id":"u","address":"10.0.0.9:80","other":` + strings.Repeat("[", 12000) + strings.Repeat("]", 12000) + `}`, nil, 400, 0, "decode report"},
		{"heartbeat with a negative load", "POST", PathHeartbeats, `{"id":"u","running":-5}`, nil, 400, 0, "running"},
		{"heartbeat with a load too large", "POST", PathHeartbeats, `{"id":"u","queued":9000000000000000000}`, nil, 400, 0, "queued"},
		{"heartbeat with a negative rank", "POST", PathHeartbeats, `{"id":"u","inForce":{"group":"g","rank":-1}}`, nil, 400, 0, "rank"},
		{"registry refuses events", "POST", PathCacheEvents, `{}`, refusal(fault.NotFound), 404, 1, "no"},
		{"registry fails", "POST", PathAnnouncements, `{"id":"u","address":"10.0.0.9:80"}`, errors.New("broken"), 500, 1, "broken"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			registry := &fakeRegistry{err: c.err}
			w := httptest.NewRecorder()
			NewHandler(registry).ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
			require.Equal(t, c.status, w.Code)
			require.Equal(t, c.reports, registry.reports)
			require.Contains(t, w.Body.String(), c.answer)
			if c.status == http.StatusNoContent {
				require.Empty(t, w.Body.String())
			}
		})
	}
}
