package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/membership"
)

// PlainServiceConfig configures a fake plain service.
type PlainServiceConfig struct {
	Upstream
	// WorkTime is the time to process a call.
	WorkTime time.Duration
	// Handler, if set, serves calls in place of the service.
	Handler http.Handler
}

// PlainService is a fake plain service. It records each call as a run and responds
// with the number of runs so far, so that tests can tell whether a call ran twice.
type PlainService struct {
	*Server
	cfg PlainServiceConfig
}

// PlainServiceReply is the body of a response. Run is the number of calls that
// the service has started.
type PlainServiceReply struct {
	Run    int    `json:"run"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// StartPlainService starts a plain service on a free loopback port.
func StartPlainService(cfg PlainServiceConfig) (*PlainService, error) {
	cfg.Kind = membership.PlainService
	p := &PlainService{cfg: cfg}
	mux := http.NewServeMux()
	if cfg.Handler == nil {
		cfg.Handler = http.HandlerFunc(p.handle)
	}
	mux.Handle("/", cfg.Handler)
	server, err := startServer(cfg.Upstream, mux)
	if err != nil {
		return nil, err
	}
	p.Server = server
	return p, nil
}

func (p *PlainService) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	faults := p.Faults()
	if faults.Refuse != 0 {
		http.Error(w, "refused", faults.Refuse)
		return
	}
	if !p.startRequest(r, string(body)) {
		return
	}
	defer p.finishRequest()
	if !p.sleepRequest(r, p.cfg.WorkTime) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
	reply, _ := json.Marshal(PlainServiceReply{Run: len(p.Runs()), Method: r.Method, Path: r.URL.Path, Body: string(body)})
	if faults.TruncateAfter > 0 {
		// Announce a longer body than is sent.
		w.Header().Set("Content-Length", "100000")
		_, _ = w.Write(reply)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(reply)
}
