package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/edge/bodybudget"
)

// Guards against bodies that together take the process over its memory, with all its
// requests. One that does not fit is refused truthfully; small requests
// are served meanwhile, and large ones again later.
func TestBodiesThatDoNotFitAreRefused(t *testing.T) {
	u := newUpstream(t, "a", answer("done"))
	e, server := newEntry(t, u.record("app", ""))
	e.opts.Bodies = bodybudget.New(1<<20, metrics.NewRegistry())
	large := strings.Repeat("0123456789abcdef", 40_000)
	sendBody := func(body io.Reader) result {
		return sendRequest(t, server, "/order/1", func(r *http.Request) {
			r.Body = io.NopCloser(body)
			r.ContentLength = -1
			if s, declared := body.(*strings.Reader); declared {
				r.ContentLength = s.Size()
			}
		})
	}
	held, err := e.opts.Bodies.Read(context.Background(), strings.NewReader(large), bodybudget.Options{Declared: int64(len(large)), Limit: 1 << 20})
	require.NoError(t, err)
	second, err := e.opts.Bodies.Read(context.Background(), strings.NewReader(large[:200_000]), bodybudget.Options{Declared: 200_000, Limit: 1 << 20})
	require.NoError(t, err)

	refused := sendBody(strings.NewReader(large))
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.NotEmpty(t, refused.header.Get("Retry-After"))
	require.Less(t, refused.took, 3*time.Second, "well before its deadline")
	require.Zero(t, u.requests())
	require.Equal(t, http.StatusOK, sendRequest(t, server, "/order/1").status, "a small request")

	held.Release()
	second.Release()
	for _, body := range []io.Reader{strings.NewReader(large), io.LimitReader(strings.NewReader(large), int64(len(large)))} {
		require.Equal(t, http.StatusOK, sendBody(body).status)
		u.mu.Lock()
		require.Equal(t, large, u.bodies[len(u.bodies)-1])
		u.mu.Unlock()
	}
}

// Guards against bodies that hold memory although they never arrive.
func TestBodyThatNeverArrives(t *testing.T) {
	u := newUpstream(t, "a", answer("done"))
	e, server := newEntry(t, u.record("app", ""))
	registry := metrics.NewRegistry()
	e.opts.Bodies = bodybudget.New(1<<20, registry)
	for _, framing := range []string{"Content-Length: 500000\r\n\r\nx", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		require.NoError(t, err)
		_, err = fmt.Fprintf(conn, "POST /quick/1 HTTP/1.1\r\nHost: h.example\r\nId: request-1\r\nKey: key\r\n%s", framing)
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
		require.NoError(t, resp.Body.Close())
		require.NoError(t, conn.Close())
	}
	require.Zero(t, u.requests())
	require.Zero(t, registry.Get("bodies.bytes").(metrics.Gauge).Value())
}
