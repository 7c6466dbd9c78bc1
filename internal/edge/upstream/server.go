package upstream

import (
	"encoding/json"
	"net/http"

	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/membership"
)

// maxReportBytes bounds the body of an announcement, heartbeat or batch of
// cache events.
const maxReportBytes = 256 << 10

// Registry receives what upstreams report of themselves.
type Registry interface {
	Announce(membership.Announcement) (membership.Lease, error)
	Heartbeat(membership.Heartbeat) (membership.Lease, error)
	CacheEvents(CacheEvents) error
}

// NewHandler serves the calls that upstreams make.
func NewHandler(registry Registry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathAnnouncements, func(w http.ResponseWriter, r *http.Request) {
		serveReport(w, r, registry.Announce)
	})
	mux.HandleFunc("POST "+PathHeartbeats, func(w http.ResponseWriter, r *http.Request) {
		serveReport(w, r, registry.Heartbeat)
	})
	mux.HandleFunc("POST "+PathCacheEvents, func(w http.ResponseWriter, r *http.Request) {
		serveReport(w, r, func(events CacheEvents) (struct{}, error) {
			return struct{}{}, registry.CacheEvents(events)
		})
	})
	return mux
}

// serveReport decodes a report, passes it on and writes the reply as JSON.
func serveReport[In, Out any](w http.ResponseWriter, r *http.Request, handle func(In) (Out, error)) {
	var in In
	body := http.MaxBytesReader(w, r.Body, maxReportBytes)
	if err := json.NewDecoder(body).Decode(&in); err != nil {
		http.Error(w, "decode report: "+err.Error(), http.StatusBadRequest)
		return
	}
	out, err := handle(in)
	if err != nil {
		http.Error(w, err.Error(), fault.Status(fault.CodeOf(err)))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The upstream repeats a report whose reply it did not get.
	_ = json.NewEncoder(w).Encode(out)
}
