package upstream

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/membership"
)

// maxReportBytes limits the body of an announcement, heartbeat or batch of cache
// events.
const maxReportBytes = 256 << 10

// Registry receives the reports of upstreams.
type Registry interface {
	Announce(membership.Announcement) (membership.Lease, error)
	Heartbeat(membership.Heartbeat) (membership.Lease, error)
	CacheEvents(CacheEvents) error
}

// NewHandler returns the HTTP handler for reports of upstreams.
func NewHandler(registry Registry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathAnnouncements, func(w http.ResponseWriter, r *http.Request) {
		serveReport(w, r, withLease(registry.Announce))
	})
	mux.HandleFunc("POST "+PathHeartbeats, func(w http.ResponseWriter, r *http.Request) {
		serveReport(w, r, withLease(registry.Heartbeat))
	})
	mux.HandleFunc("POST "+PathCacheEvents, func(w http.ResponseWriter, r *http.Request) {
		serveReport(w, r, func(events CacheEvents) (*membership.Lease, error) {
			return nil, registry.CacheEvents(events)
		})
	})
	return mux
}

// withLease adapts a handler that returns a lease to serveReport.
func withLease[In any](handle func(In) (membership.Lease, error)) func(In) (*membership.Lease, error) {
	return func(in In) (*membership.Lease, error) {
		lease, err := handle(in)
		return &lease, err
	}
}

// serveReport decodes a report, calls handle and writes the lease as JSON, or
// status 204 if there is none.
func serveReport[In any](w http.ResponseWriter, r *http.Request, handle func(In) (*membership.Lease, error)) {
	var in In
	body := http.MaxBytesReader(w, r.Body, maxReportBytes)
	if err := json.NewDecoder(body).Decode(&in); err != nil {
		http.Error(w, "decode report: "+err.Error(), decodeErrorStatus(err))
		return
	}
	if report, ok := any(&in).(interface{ Validate() error }); ok {
		if err := report.Validate(); err != nil {
			http.Error(w, "invalid report: "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	lease, err := handle(in)
	switch {
	case err != nil:
		http.Error(w, err.Error(), fault.Status(fault.CodeOf(err)))
	case lease == nil:
		w.WriteHeader(http.StatusNoContent)
	default:
		w.Header().Set("Content-Type", "application/json")
		// The error is ignored: an upstream that gets no reply sends its report
		// again.
		_ = json.NewEncoder(w).Encode(lease)
	}
}

// decodeErrorStatus returns the HTTP status for a report that cannot be decoded.
func decodeErrorStatus(err error) int {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}
