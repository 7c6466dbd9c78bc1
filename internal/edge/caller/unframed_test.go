package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
)

// startUnframed starts an upstream that answers with a body of a size, without
// length and chunks.
func startUnframed(t *testing.T, size int) upstream.Target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+upstream.HeaderRequestID+": "+r.Header.Get(upstream.HeaderRequestID)+"\r\n\r\n"+strings.Repeat("x", size))
			}
			_ = conn.Close()
		}
	}()
	return upstream.Target{ID: "u", Address: listener.Addr().String()}
}

// Guards against an answer without length and chunks whose upstream ends halfway,
// and which reaches the caller, or is stored for its idempotency key, as complete.
func TestUnframedAnswerOfEndedUpstream(t *testing.T) {
	for _, size := range []int{4, 2 * responseBufferBytes} {
		target := startUnframed(t, size)
		for _, ended := range []bool{false, true} {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				t.Run(fmt.Sprintf("%s, %d bytes, ended: %v", method, size, ended), func(t *testing.T) {
					h := newHarness(t, 0)
					h.extra, h.ended = []upstream.Target{target}, ended
					h.plainService.Kill()
					got := h.do(t.Context(), method, "/orders", "", map[string]string{headerIdempotencyKey: "k"})
					require.Equal(t, !ended, got.status == http.StatusOK && got.err == nil && len(got.body) == size, "%d %v", got.status, got.err)
					h.mu.Lock()
					defer h.mu.Unlock()
					require.Equal(t, !ended, h.results[0].OK)
					require.Equal(t, ended, h.results[0].Broken)
					if c := h.claims["k"]; c != nil {
						require.Equal(t, !ended, c.state == ClaimDone)
					}
				})
			}
		}
	}
}
