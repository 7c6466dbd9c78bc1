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

// slowUpstream sends the headers and the first part of an answer, and the rest
// when it is told to.
type slowUpstream struct {
	began chan struct{}
	rest  chan string
	// crash breaks the connection instead.
	crash chan struct{}
	ended chan error
}

// addSlow puts a slow upstream in front of the others.
func (h *harness) addSlow(first string) *slowUpstream {
	s := &slowUpstream{began: make(chan struct{}), rest: make(chan string, 1), crash: make(chan struct{}), ended: make(chan error, 1)}
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
		close(s.began)
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
	h.dead = append(h.dead, upstream.Target{ID: "slow", Address: strings.TrimPrefix(server.URL, "http://")})
	return s
}

func (h *harness) onlyResult() Result {
	require.Eventually(h.t, func() bool { return h.handler.InFlight() == 0 }, 10*time.Second, time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	require.Len(h.t, h.results, 1, "the request must not be sent again")
	return h.results[0]
}

const (
	streamBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"rug"}]}`
	rugBody    = `{"model":"m","messages":[{"role":"user","content":"rug"}]}`
	firstEvent = "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"rug-0 \"}}]}\n\n"
	lastEvents = "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"rug-1 \"}}]}\n\ndata: [DONE]\n\n"
)

// leavable are the kinds of request whose caller can go away.
var leavable = []struct {
	name, method, path, body, first, rest string
}{
	{"stream", "POST", chatPath, streamBody, firstEvent, lastEvents},
	{"whole answer", "POST", chatPath, rugBody, "{", "}"},
	{"large answer", "GET", "/rugs", "", strings.Repeat("x", spoolBytes), strings.Repeat("y", spoolBytes)},
	{"request without a key", "POST", "/orders", "one", "{", "}"},
}

// Guards against the cancellation of an isolated run whose caller goes away,
// which would leave a request that crashes upstreams without a proof against
// it, and against other work going on for a caller that has gone away.
func TestOutlivingAttempt(t *testing.T) {
	for _, c := range leavable {
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
					s := h.addSlow(c.first)
					ctx, cancel := context.WithCancel(t.Context())
					go func() { <-s.began; cancel() }()
					_ = h.do(ctx, c.method, c.path, c.body, nil)
					if !outlives {
						require.Error(t, <-s.ended)
						require.True(t, h.onlyResult().Cancelled)
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
						require.True(t, h.onlyResult().Broken)
						return
					}
					s.rest <- c.rest
					require.NoError(t, <-s.ended)
					require.Equal(t, Result{OK: true}, h.onlyResult())
				})
			}
		}
	}
}

// Guards against an outliving attempt that goes on past the request's
// deadline, and against a deadline being taken for a crash of the upstream.
func TestDeadlineWithinAnswer(t *testing.T) {
	for _, c := range leavable {
		for _, leaves := range []bool{true, false} {
			name := c.name
			if leaves {
				name += ", caller gone"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				h := newHarness(t, 0)
				h.outlives = leaves
				h.route.Timeout = time.Second
				s := h.addSlow(c.first)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if leaves {
					go func() { <-s.began; cancel() }()
				}
				_ = h.do(ctx, c.method, c.path, c.body, nil)
				require.Error(t, <-s.ended, "the attempt must end upstream")
				r := h.onlyResult()
				require.Equal(t, fault.DeadlineExceeded, fault.CodeOf(r.Err))
				require.False(t, r.Broken)
				require.False(t, r.Cancelled)
			})
		}
	}
}

// Guards against a request whose caller has gone away being started, which
// would count against an upstream that did nothing wrong.
func TestNoAttemptForCallerThatLeft(t *testing.T) {
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
