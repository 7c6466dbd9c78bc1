package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
)

// startLateCopies starts an upstream that answers each request with its URI. Before
// each answer but the first of a connection it sends the previous one once more.
func startLateCopies(t *testing.T, echo bool) upstream.Target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		in, last := bufio.NewReader(conn), ""
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			answer := "HTTP/1.1 200 OK\r\n"
			if echo {
				answer += upstream.HeaderRequestID + ": " + r.Header.Get(upstream.HeaderRequestID) + "\r\n"
			}
			answer += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(r.URL.RequestURI()), r.URL.RequestURI())
			if _, err := io.WriteString(conn, last+answer); err != nil {
				return
			}
			last = answer
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return upstream.Target{ID: "u", Address: listener.Addr().String()}
}

// Guards against a second copy of an answer that arrives when its connection is in
// use again, and reaches the next caller as the answer to its request.
func TestLateCopyOfAnswerReachesNoOtherCaller(t *testing.T) {
	for _, echo := range []bool{false, true} {
		t.Run(fmt.Sprintf("echo: %v", echo), func(t *testing.T) {
			h := newHarness(t, 0)
			h.extra = []upstream.Target{startLateCopies(t, echo)}
			h.plainService.Kill()
			for n := range 6 {
				uri := fmt.Sprintf("/orders?n=%d", n)
				got := h.do(t.Context(), http.MethodGet, uri, "", nil)
				if got.status == http.StatusOK {
					require.Equal(t, uri, got.body, "request %d", n)
				}
				if !echo {
					require.Equal(t, http.StatusOK, got.status)
				}
			}
		})
	}
}
