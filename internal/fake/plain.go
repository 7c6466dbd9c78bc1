package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/membership"
)

// PlainConfig describes a fake plain service.
type PlainConfig struct {
	Upstream
	// WorkTime is how long each call takes.
	WorkTime time.Duration
}

// Plain is a fake plain service. Each call is recorded as a run and answered
// with the run's number, so that tests can see whether a call ran twice.
type Plain struct {
	*Server
	cfg PlainConfig
}

// PlainReply is the body of an answer.
type PlainReply struct {
	Run    int    `json:"run"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// StartPlain starts a plain service on a free loopback port.
func StartPlain(cfg PlainConfig) (*Plain, error) {
	cfg.Kind = membership.PlainService
	p := &Plain{cfg: cfg}
	mux := http.NewServeMux()
	mux.HandleFunc("/", p.serve)
	server, err := startServer(cfg.Upstream, mux)
	if err != nil {
		return nil, err
	}
	p.Server = server
	return p, nil
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	faults := p.Faults()
	if faults.Refuse != 0 {
		http.Error(w, "refused", faults.Refuse)
		return
	}
	if !p.begin(r, string(body)) {
		return
	}
	defer p.end()
	if !p.wait(r, p.cfg.WorkTime) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
	reply, _ := json.Marshal(PlainReply{Run: len(p.Runs()), Method: r.Method, Path: r.URL.Path, Body: string(body)})
	if faults.TruncateAfter > 0 {
		w.Header().Set("Content-Length", "100000")
		_, _ = w.Write(reply)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(reply)
}
