package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fault"
)

// slowUpstream sends the headers and the first part of a response. It sends the
// rest, or breaks the connection, when the test tells it to.
type slowUpstream struct {
	// started is closed when the first part has been sent.
	started chan struct{}
	// rest delivers the second part to send.
	rest chan string
	// crash breaks the connection when closed.
	crash chan struct{}
	// ended receives the error of the request's context or of the last write.
	ended chan error
}

// addSlowUpstream starts a slow upstream that Pick prefers to the others.
func (h *harness) addSlowUpstream(first string) *slowUpstream {
	s := &slowUpstream{started: make(chan struct{}), rest: make(chan string, 1), crash: make(chan struct{}), ended: make(chan error, 1)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		for _, name := range []string{upstream.HeaderRequestID, upstream.HeaderAttempt} {
			w.Header().Set(name, r.Header.Get(name))
		}
		if strings.HasPrefix(first, "id:") {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		_, _ = io.WriteString(w, first)
		_ = http.NewResponseController(w).Flush()
		close(s.started)
		select {
		case rest := <-s.rest:
			_, err := io.WriteString(w, rest)
			s.ended <- err
		case <-s.crash:
			s.ended <- nil
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			s.ended <- r.Context().Err()
		}
	}))
	h.t.Cleanup(server.Close)
	h.extra = append(h.extra, upstream.Target{ID: "slow", Address: strings.TrimPrefix(server.URL, "http://")})
	return s
}

// singleResult waits until no request is in flight and returns the result of the
// only attempt.
func (h *harness) singleResult() Result {
	require.Eventually(h.t, func() bool { return h.handler.InFlight() == 0 }, 10*time.Second, time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	require.Len(h.t, h.results, 1, "expected exactly one attempt")
	return h.results[0]
}

const (
	streamBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"rug"}]}`
	chatBody   = `{"model":"m","messages":[{"role":"user","content":"rug"}]}`
	firstEvent = "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"rug-0 \"}}]}\n\n"
	lastEvents = "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"rug-1 \"}}]}\n\ndata: [DONE]\n\n"
)

// disconnectCases covers each way in which the handler serves a request.
var disconnectCases = []struct {
	name, method, path, body, first, rest string
}{
	{"stream", "POST", chatPath, streamBody, firstEvent, lastEvents},
	{"unary response", "POST", chatPath, chatBody, "{", "}"},
	{"large response", "GET", "/rugs", "", strings.Repeat("x", responseBufferBytes), strings.Repeat("y", responseBufferBytes)},
	{"request without a key", "POST", "/orders", "one", "{", "}"},
}

// An isolated run must continue after its caller disconnects: a cancelled run
// could not prove that the request crashes upstreams. Any other attempt must be
// cancelled.
func TestAttemptOutlivesCaller(t *testing.T) {
	for _, c := range disconnectCases {
		for _, outlives := range []bool{true, false} {
			for _, crashes := range []bool{true, false} {
				if crashes && !outlives {
					continue
				}
				name := c.name
				if outlives {
					name += ", outlives its caller"
				}
				if crashes {
					name += ", crashes"
				}
				t.Run(name, func(t *testing.T) {
					h := newHarness(t, 0)
					h.outlives = outlives
					s := h.addSlowUpstream(c.first)
					ctx, cancel := context.WithCancel(t.Context())
					go func() { <-s.started; cancel() }()
					_ = h.do(ctx, c.method, c.path, c.body, nil)
					if !outlives {
						require.Error(t, <-s.ended)
						require.True(t, h.singleResult().Cancelled)
						return
					}
					select {
					case err := <-s.ended:
						t.Fatalf("the attempt was cancelled: %v", err)
					case <-time.After(20 * time.Millisecond):
					}
					if crashes {
						close(s.crash)
						require.NoError(t, <-s.ended)
						require.True(t, h.singleResult().Broken)
						return
					}
					s.rest <- c.rest
					require.NoError(t, <-s.ended)
					require.Equal(t, Result{OK: true}, h.singleResult())
				})
			}
		}
	}
}

// An attempt that outlives its caller must still end at the request's deadline,
// and a deadline must not be reported as a crash of the upstream.
func TestDeadlineDuringResponse(t *testing.T) {
	for _, c := range disconnectCases {
		for _, disconnects := range []bool{true, false} {
			name := c.name
			if disconnects {
				name += ", caller disconnects"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				h := newHarness(t, 0)
				h.outlives = disconnects
				h.route.Timeout = time.Second
				s := h.addSlowUpstream(c.first)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if disconnects {
					go func() { <-s.started; cancel() }()
				}
				_ = h.do(ctx, c.method, c.path, c.body, nil)
				require.Error(t, <-s.ended, "the attempt was not cancelled at the upstream")
				r := h.singleResult()
				require.Equal(t, fault.DeadlineExceeded, fault.CodeOf(r.Err))
				require.False(t, r.Broken)
				require.False(t, r.Cancelled)
			})
		}
	}
}

// A request whose caller has disconnected must not be started: its failure would
// count against a healthy upstream.
func TestNoAttemptAfterDisconnect(t *testing.T) {
	h := newHarness(t, 1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r := httptest.NewRequest(http.MethodPost, chatPath, strings.NewReader(streamBody)).WithContext(ctx)
	r.Header.Set("Authorization", "Bearer key")
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, r)
	require.Equal(t, string(fault.NotRun), w.Header().Get(HeaderOutcome))
	require.Empty(t, h.results)
	require.Empty(t, h.engines[0].Runs())
}
