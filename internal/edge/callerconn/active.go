package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// activePollInterval is the interval at which Wait looks for running requests.
const activePollInterval = 10 * time.Millisecond

// Active tracks the connections with a request in progress, from its first byte
// until the response has been sent. The zero value is ready to use.
//
// It replaces http.Server.Shutdown, which drops a request without an answer that
// it reads on a connection without an earlier request.
type Active struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Track makes a server report its connections.
func (a *Active) Track(s *http.Server) { s.ConnState = a.record }

func (a *Active) record(c net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state != http.StateActive {
		delete(a.conns, c)
		return
	}
	if a.conns == nil {
		a.conns = map[net.Conn]struct{}{}
	}
	a.conns[c] = struct{}{}
}

func (a *Active) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}

// Wait returns when no request is in progress, or with an error when ctx ends.
func (a *Active) Wait(ctx context.Context) error {
	ticker := time.NewTicker(activePollInterval)
	defer ticker.Stop()
	for a.count() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
