package callerconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const maxTestConnections = 6

func serve(t *testing.T, limits Limits) *Listener {
	l, err := Listen("127.0.0.1:0", Options{Limits: limits, MaxConnections: maxTestConnections, Registry: metrics.NewRegistry()})
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		WaitForBody(r)
		_, _ = io.Copy(io.Discard, r.Body)
		BodyArrived(r.Context())
		if r.URL.Path == "/slow" {
			<-r.Context().Done()
		}
		_, _ = io.WriteString(w, "ok")
	})}
	Configure(server)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return l
}

// client is a connection of a caller.
type client struct {
	net.Conn
	in *bufio.Reader
}

func connect(t *testing.T, l *Listener) client {
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return client{c, bufio.NewReader(c)}
}

func (c client) request(t *testing.T) {
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(c.in, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
}

// closedAfter returns the time until the server closes the connection.
func (c client) closedAfter(t *testing.T, limit time.Duration) time.Duration {
	started := time.Now()
	require.NoError(t, c.SetReadDeadline(started.Add(limit)))
	_, err := io.Copy(io.Discard, c.in)
	require.NoError(t, err, "the server closes the connection")
	return time.Since(started)
}

// Guards against timeouts that stay those of the first catalog: on connections that
// are idle, on those that send a header, and on new ones.
func TestChangedLimitsApplyToOpenConnections(t *testing.T) {
	const short, long, margin = 300 * time.Millisecond, 30 * time.Second, 10 * time.Second
	l := serve(t, Limits{Header: long, Idle: long})
	idle, sending := connect(t, l), connect(t, l)
	idle.request(t)
	_, err := io.WriteString(sending, "GET / HTTP/1.1\r\nHo")
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	l.SetLimits(Limits{Header: short, Idle: short})
	require.Less(t, idle.closedAfter(t, margin), margin, "a shorter idle timeout")
	require.Less(t, sending.closedAfter(t, margin), margin, "a shorter header timeout")

	later := connect(t, l)
	later.request(t)
	l.SetLimits(Limits{Header: long, Idle: long})
	time.Sleep(3 * short)
	later.request(t)
	l.SetLimits(Limits{})
	time.Sleep(3 * short)
	later.request(t)
	require.Less(t, l.open(), 3, "closed connections are forgotten")
}

// Guards against a connection that is cut off by the timeouts while its request is
// served or its body is read.
func TestLimitsDoNotCutRequests(t *testing.T) {
	l := serve(t, Limits{Header: 200 * time.Millisecond, Idle: 200 * time.Millisecond})
	c := connect(t, l)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx")
	require.NoError(t, err)
	time.Sleep(600 * time.Millisecond)
	_, err = io.WriteString(c, "y")
	require.NoError(t, err)
	resp, err := http.ReadResponse(c.in, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

func (l *Listener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Guards against clients that take all connections and keep ordinary ones out, and
// against the end of a connection whose request is served.
func TestConnectionLimit(t *testing.T) {
	const slow, bodyStart = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx"
	l := serve(t, Limits{})
	start := time.Now()
	// await waits until a number of connections wait for something and have sent
	// their bytes after a time.
	await := func(w waiting, count int, after time.Time) {
		require.Eventually(t, func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			n := 0
			for c := range l.conns {
				if c.waiting == w && c.receivedAt.Load() > after.UnixNano() {
					n++
				}
			}
			return n == count
		}, 10*time.Second, time.Millisecond)
	}
	send := func(text string, w waiting, count int) client {
		c := connect(t, l)
		_, err := io.WriteString(c, text)
		require.NoError(t, err)
		await(w, count, start)
		return c
	}
	requireClosed := func(c client, reason string) {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err := c.in.ReadByte()
		require.Error(t, err)
		var timeout net.Error
		require.False(t, errors.As(err, &timeout) && timeout.Timeout(), reason)
	}
	served := send(slow, forNothing, 1)
	sending := send(bodyStart, forBody, 1)
	silent := send(bodyStart, forBody, 2)
	head := send("POST / HTTP/1.1\r\nHo", forHeader, 1)
	before := time.Now()
	_, err := io.WriteString(sending, "y")
	require.NoError(t, err)
	await(forBody, 1, before)
	idle := connect(t, l)
	idle.request(t)
	await(forRequest, 1, start)
	answered := connect(t, l)
	answered.request(t)
	await(forRequest, 2, start)
	require.Equal(t, maxTestConnections, l.open())
	for n, closed := range []struct {
		conn   client
		reason string
	}{{idle, "an idle connection is missed least"}, {answered, "the next idle one"}, {silent, "then the one that has been silent longest"},
		{head, "then the next one"}, {sending, "then the one that has sent last"}} {
		send(slow, forNothing, 2+n)
		requireClosed(closed.conn, closed.reason)
	}
	refused := connect(t, l)
	resp, err := http.ReadResponse(refused.in, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.NoError(t, served.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = served.in.ReadByte()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "a request that is served keeps its connection")
}

// Guards against a receive buffer that slows the upload of a large body down, and
// against one that stays large.
func TestReceiveBufferOfBulk(t *testing.T) {
	l, err := Listen("127.0.0.1:0", Options{MaxConnections: 2, Registry: metrics.NewRegistry()})
	require.NoError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	size := func() (n int) {
		raw, err := accepted.(*conn).Conn.(*net.TCPConn).SyscallConn()
		require.NoError(t, err)
		require.NoError(t, raw.Control(func(fd uintptr) { n, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) }))
		require.NoError(t, err)
		return n / 2 // The kernel doubles the size that is set.
	}
	ctx := context.WithValue(t.Context(), connKey{}, accepted)
	require.Equal(t, receiveBufferBytes, size(), "inherited from the listener")
	WaitForBody((&http.Request{ContentLength: 1}).WithContext(ctx))
	ReceiveBulk(ctx)
	require.Equal(t, bodyReceiveBufferBytes, size())
	BodyArrived(ctx)
	require.Equal(t, receiveBufferBytes, size())
}

// Guards against a header that is read far beyond the limit in force, on a first and a
// later request, and against one within the limit that is refused with its body.
func TestHeaderLimitWhileReading(t *testing.T) {
	const limit = 16 << 10
	l := serve(t, Limits{HeaderBytes: limit})
	status := func(c client, text string) int {
		go func() { _, _ = io.WriteString(c, text) }()
		require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		resp, err := http.ReadResponse(c.in, nil)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	header := func(size int) string { return "POST / HTTP/1.1\r\nHost: h\r\nX-Filler: " + strings.Repeat("x", size) }
	for range 2 {
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status(connect(t, l), header(2*limit)))
		c := connect(t, l)
		for range 2 {
			body := strings.Repeat("y", 3*limit)
			require.Equal(t, http.StatusOK, status(c, header(limit-100)+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body))
		}
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status(c, header(2*limit)))
	}
	l.SetLimits(Limits{HeaderBytes: 4 * limit})
	require.Equal(t, http.StatusOK, status(connect(t, l), header(3*limit)+"\r\nContent-Length: 0\r\n\r\n"))
}
