package upstream

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/nettest"
	"github.com/bluebellfield/bluebellfield/membership"
)

const okReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// rawServer is a TCP server whose connections are handled by the test.
type rawServer struct {
	address string
	// requests counts the requests that were read completely.
	requests atomic.Int64
	// firstRequest is closed after the first of them.
	firstRequest chan struct{}
	done         sync.WaitGroup
}

// startRawServer calls handle for each connection, numbered from 1.
func startRawServer(t testing.TB, handle func(s *rawServer, conn *net.TCPConn, number int)) *rawServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &rawServer{address: listener.Addr().String(), firstRequest: make(chan struct{})}
	s.done.Go(func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.done.Go(func() {
				defer conn.Close()
				handle(s, conn.(*net.TCPConn), number)
			})
		}
	})
	t.Cleanup(func() { listener.Close(); s.done.Wait() })
	return s
}

// readRequest reads one request including its body.
func (s *rawServer) readRequest(in *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(in)
	if err != nil {
		return nil, err
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return nil, err
	}
	if s.requests.Add(1) == 1 {
		close(s.firstRequest)
	}
	return req, nil
}

// expireOnRequest returns a context that is cancelled with the cause
// context.DeadlineExceeded once the server has read a request. Unlike a timeout
// it does not depend on the speed of the machine.
func expireOnRequest(t *testing.T, s *rawServer) context.Context {
	ctx, expire := context.WithCancelCause(t.Context())
	go func() {
		select {
		case <-s.firstRequest:
			expire(context.DeadlineExceeded)
		case <-ctx.Done():
		}
	}()
	t.Cleanup(func() { expire(nil) })
	return ctx
}

// expireInBody returns a context that is cancelled with the cause
// context.DeadlineExceeded 50 ms after the first byte of the response.
func expireInBody(t *testing.T) context.Context {
	ctx, expire := context.WithCancelCause(t.Context())
	t.Cleanup(func() { expire(nil) })
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		time.AfterFunc(50*time.Millisecond, func() { expire(context.DeadlineExceeded) })
	}})
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// countedConn counts the calls of Write.
type countedConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c countedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

func newTestClient(t testing.TB) (*Client, *atomic.Int64) {
	writes := &atomic.Int64{}
	c := NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return countedConn{conn, writes}, nil
	})
	t.Cleanup(c.Close)
	return c, writes
}

func postTo(s *rawServer, once bool) Dispatch {
	return Dispatch{
		Target: Target{ID: "u", Address: s.address}, Method: http.MethodPost, URI: "/order", Body: Bytes("cut the rug"),
		RequestID: "r", Attempt: 1, Once: once,
	}
}

// send makes an attempt and reads the whole response.
func send(ctx context.Context, c *Client, d Dispatch) (string, error) {
	resp, err := c.Do(ctx, d)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// A request that fails after some of it was sent must be reported with outcome
// unknown, and the transport must not send it again.
func TestDispatchFaults(t *testing.T) {
	readThen := func(after func(conn *net.TCPConn)) func(*rawServer, *net.TCPConn, int) {
		return func(s *rawServer, conn *net.TCPConn, _ int) {
			if _, err := s.readRequest(bufio.NewReader(conn)); err == nil {
				after(conn)
			}
		}
	}
	cases := []struct {
		name     string
		handle   func(*rawServer, *net.TCPConn, int)
		expires  bool
		code     fault.Code
		requests int64
	}{
		{"closed after part of the request", func(_ *rawServer, conn *net.TCPConn, _ int) {
			_, _ = io.ReadFull(conn, make([]byte, 10))
		}, false, fault.UpstreamFailed, 0},
		{"closed after the request", readThen(func(*net.TCPConn) {}), false, fault.UpstreamFailed, 1},
		{"reset after the request", readThen(reset), false, fault.UpstreamFailed, 1},
		{"closed in the response headers", readThen(func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Le")
		}), false, fault.UpstreamFailed, 1},
		{"response that is not HTTP", readThen(func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, "ready\r\n\r\n")
		}), false, fault.UpstreamFailed, 1},
		{"no response before the deadline", readThen(func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) }), true, fault.DeadlineExceeded, 1},
	}
	for _, c := range cases {
		for _, once := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, once=%v", c.name, once), func(t *testing.T) {
				s := startRawServer(t, c.handle)
				client, _ := newTestClient(t)
				ctx := t.Context()
				if c.expires {
					ctx = expireOnRequest(t, s)
				}
				_, err := send(ctx, client, postTo(s, once))
				require.Error(t, err)
				require.Equal(t, fault.Unknown, fault.OutcomeOf(err))
				require.Equal(t, c.code, fault.CodeOf(err))
				require.Equal(t, fault.Location{Step: StepDispatch, Peer: "u"}, fault.LocationOf(err))
				require.Equal(t, c.requests, s.requests.Load())
			})
		}
	}
}

// A request of which nothing was sent must be reported as not-run. Otherwise a
// claimed request could not be sent to another upstream.
func TestNotSentIsNotRun(t *testing.T) {
	s := startRawServer(t, func(*rawServer, *net.TCPConn, int) {})
	client, writes := newTestClient(t)
	expired, cancel := context.WithDeadline(t.Context(), time.Unix(0, 0))
	defer cancel()
	refused := postTo(s, true)
	refused.Target.Address = nettest.RefusingAddress(t)
	malformed := postTo(s, true)
	malformed.Method = "BAD METHOD"
	cases := []struct {
		name string
		ctx  context.Context
		d    Dispatch
		code fault.Code
	}{
		{"refused", t.Context(), refused, fault.UpstreamUnreachable},
		{"expired before dialing", expired, postTo(s, true), fault.UpstreamUnreachable},
		{"request that cannot be built", t.Context(), malformed, fault.BadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := client.Do(c.ctx, c.d)
			require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
			require.Equal(t, c.code, fault.CodeOf(err))
			require.Zero(t, writes.Load())
		})
	}
}

// A request that was cancelled while dialing is reported as not-run. It must not
// be sent when the connection opens later.
func TestCancelledRequestIsNotSentLater(t *testing.T) {
	for _, once := range []bool{false, true} {
		t.Run(fmt.Sprintf("once=%v", once), func(t *testing.T) {
			s := startRawServer(t, func(s *rawServer, conn *net.TCPConn, _ int) {
				in := bufio.NewReader(conn)
				for {
					if _, err := s.readRequest(in); err != nil {
						return
					}
					_, _ = io.WriteString(conn, okReply)
				}
			})
			dialing, open, opened := make(chan struct{}), make(chan struct{}), make(chan struct{})
			var first sync.Once
			client := NewClient(func(ctx context.Context, address string) (net.Conn, error) {
				first.Do(func() {
					close(dialing)
					<-open
					defer close(opened)
				})
				return net.Dial("tcp", address)
			})
			defer client.Close()
			ctx, cancel := context.WithCancel(t.Context())
			go func() { <-dialing; cancel() }()
			_, err := client.Do(ctx, postTo(s, once))
			require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
			close(open)
			<-opened
			body, err := send(t.Context(), client, postTo(s, once))
			require.NoError(t, err)
			require.Equal(t, "ok", body)
			require.Equal(t, int64(1), s.requests.Load(), "only the second request may arrive")
		})
	}
}

// A connection must reject writes after its request was reported as not sent.
func TestNoWriteAfterNotSent(t *testing.T) {
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	conn := &trackedConn{Conn: local}
	tracker := &writeTracker{}
	tracker.gotConn(httptrace.GotConnInfo{Conn: conn})
	require.True(t, tracker.notSent())
	_, err := conn.Write([]byte("x"))
	require.ErrorIs(t, err, errWritesBlocked)
}

// A request of which any byte was sent must not be reported as not-run, wherever
// the connection breaks.
func TestCutRequest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := Dispatch{
			Method: http.MethodPost, URI: "/", RequestID: "r", Attempt: 1, Once: rapid.Bool().Draw(rt, "once"),
			Body: Bytes(strings.Repeat("x", rapid.SampledFrom([]int{1, 100, 5000, 70_000}).Draw(rt, "body"))),
		}
		cut := rapid.IntRange(0, int(d.Body.Size())+300).Draw(rt, "cut")
		closeConn := rapid.SampledFrom([]func(*net.TCPConn){reset, func(c *net.TCPConn) { c.Close() }}).Draw(rt, "break")
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(rt, err)
		read := make(chan int64, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				read <- 0
				return
			}
			n, _ := io.CopyN(io.Discard, conn, int64(cut))
			closeConn(conn.(*net.TCPConn))
			read <- n
		}()
		client, writes := newTestClient(t)
		d.Target = Target{ID: "u", Address: listener.Addr().String()}
		// The server waits for more bytes if the cut lies after the end of the
		// request.
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err = client.Do(ctx, d)
		client.Close()
		listener.Close()
		require.Error(rt, err)
		sent := <-read
		if fault.OutcomeOf(err) == fault.NotRun {
			require.Zero(rt, sent)
			require.Zero(rt, writes.Load())
			return
		}
		require.Equal(rt, fault.Unknown, fault.OutcomeOf(err))
		require.NotZero(rt, writes.Load(), "outcome unknown although nothing was written")
	})
}

// The transport must not resend a request when the upstream closes a reused
// connection after reading the request, not even one that it takes for idempotent
// by its method or its Idempotency-Key.
func TestReusedConnection(t *testing.T) {
	// The server responds to the first request on a connection. It closes the
	// connection after reading the second one.
	handle := func(s *rawServer, conn *net.TCPConn, _ int) {
		in := bufio.NewReader(conn)
		if _, err := s.readRequest(in); err != nil {
			return
		}
		_, _ = io.WriteString(conn, okReply)
		_, _ = s.readRequest(in)
	}
	withKey := func(d Dispatch) Dispatch {
		d.Header = http.Header{"Idempotency-Key": {"k"}}
		return d
	}
	get := func(d Dispatch) Dispatch {
		d.Method, d.Body = http.MethodGet, nil
		return d
	}
	cases := []struct {
		name   string
		modify func(Dispatch) Dispatch
		once   bool
		fails  bool
	}{
		{"POST", func(d Dispatch) Dispatch { return d }, false, true},
		{"POST with a key", withKey, false, true},
		{"POST with a key and without a body", func(d Dispatch) Dispatch { d.Body = nil; return withKey(d) }, false, true},
		{"GET", get, false, true},
		{"GET with a key", func(d Dispatch) Dispatch { return get(withKey(d)) }, false, true},
		{"DELETE with a key", func(d Dispatch) Dispatch { d = get(withKey(d)); d.Method = http.MethodDelete; return d }, false, true},
		{"POST once", func(d Dispatch) Dispatch { return d }, true, false},
		{"POST with a key once", withKey, true, false},
		{"GET with a key once", func(d Dispatch) Dispatch { return get(withKey(d)) }, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startRawServer(t, handle)
			client, _ := newTestClient(t)
			_, err := send(t.Context(), client, c.modify(postTo(s, false)))
			require.NoError(t, err)
			_, err = send(t.Context(), client, c.modify(postTo(s, c.once)))
			require.Equal(t, c.fails, err != nil, "error: %v", err)
			if c.fails {
				require.Equal(t, fault.Unknown, fault.OutcomeOf(err))
			}
			require.Equal(t, int64(2), s.requests.Load(), "each request must arrive exactly once")
		})
	}
}

// A claimed request must arrive only once when the upstream closes its new
// connection after reading the request.
func TestOnceIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			s := startRawServer(t, func(s *rawServer, conn *net.TCPConn, _ int) { _, _ = s.readRequest(bufio.NewReader(conn)) })
			client, _ := newTestClient(t)
			d := postTo(s, true)
			d.Method, d.Header = method, http.Header{"Idempotency-Key": {"k"}}
			if method == http.MethodGet {
				d.Body = nil
			}
			for want := int64(1); want <= 3; want++ {
				_, err := send(t.Context(), client, d)
				require.Equal(t, fault.Unknown, fault.OutcomeOf(err))
				require.Equal(t, want, s.requests.Load())
			}
		})
	}
}

// Protocol headers must be set, and must replace those of the caller.
func TestDispatchHeaders(t *testing.T) {
	got := make(chan http.Header, 1)
	s := startRawServer(t, func(s *rawServer, conn *net.TCPConn, _ int) {
		req, err := s.readRequest(bufio.NewReader(conn))
		if err == nil {
			got <- req.Header
			_, _ = io.WriteString(conn, okReply)
		}
	})
	client, _ := newTestClient(t)
	d := postTo(s, false)
	d.Target.Group = membership.GroupRef{Group: "g", Epoch: 7}
	d.Resume, d.Priority, d.Attempt = &Resume{Token: "t", Position: 4}, "free", 2
	d.Header = http.Header{HeaderAttempt: {"9"}, "Accept": {"text/plain"}}
	_, err := send(t.Context(), client, d)
	require.NoError(t, err)
	header := <-got
	for name, want := range map[string]string{
		HeaderRequestID: "r", HeaderAttempt: "2", HeaderPriority: "free", HeaderGroup: "g", HeaderEpoch: "7",
		HeaderResumeToken: "t", HeaderResumePosition: "4", "Accept": "text/plain",
	} {
		require.Equal(t, []string{want}, header.Values(name), name)
	}
	require.Equal(t, []string{"9"}, d.Header.Values(HeaderAttempt), "the caller's Dispatch must not be modified")
}

// An order with an unknown outcome must not be reported as rejected, nor a
// rejected order as unknown.
func TestOrderResults(t *testing.T) {
	result, err := json.Marshal(OrderResult{InForce: membership.GroupRef{Group: "g", Epoch: 3}})
	require.NoError(t, err)
	reply := func(status int, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	cases := []struct {
		name    string
		reply   string
		hold    bool
		code    fault.Code
		outcome fault.Outcome
	}{
		{"in force", reply(200, string(result)), false, "", ""},
		{"old epoch", reply(409, "old epoch"), false, fault.Conflict, fault.NotRun},
		{"failed", reply(500, ""), false, fault.UpstreamFailed, fault.Unknown},
		{"no such path", reply(404, ""), false, fault.UpstreamFailed, fault.Unknown},
		{"malformed", reply(200, "{"), false, fault.UpstreamFailed, fault.Unknown},
		{"too large", reply(200, `{"x":"`+strings.Repeat("x", maxReplyBytes)+`"}`), false, fault.UpstreamFailed, fault.Unknown},
		{"truncated", "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{", false, fault.UpstreamFailed, fault.Unknown},
		{"no response", "", true, fault.DeadlineExceeded, fault.Unknown},
		{"no response body", "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{", true, fault.DeadlineExceeded, fault.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startRawServer(t, func(s *rawServer, conn *net.TCPConn, _ int) {
				if _, err := s.readRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, c.reply)
				if c.hold {
					_, _ = io.Copy(io.Discard, conn)
				}
			})
			client, _ := newTestClient(t)
			ctx := t.Context()
			switch {
			case c.hold && c.reply != "":
				ctx = expireInBody(t)
			case c.hold:
				ctx = expireOnRequest(t, s)
			}
			got, err := client.Order(ctx, Target{ID: "u", Address: s.address}, "secret", Order{ID: "o", Kind: OrderForm, Epoch: 3})
			if c.code == "" {
				require.NoError(t, err)
				require.Equal(t, uint64(3), got.InForce.Epoch)
				return
			}
			require.Equal(t, c.code, fault.CodeOf(err))
			require.Equal(t, c.outcome, fault.OutcomeOf(err))
			require.Equal(t, fault.Location{Step: StepOrder, Peer: "u"}, fault.LocationOf(err))
		})
	}
	client, _ := newTestClient(t)
	_, err = client.Order(t.Context(), Target{ID: "u", Address: nettest.RefusingAddress(t)}, "", Order{})
	require.Equal(t, fault.NotRun, fault.OutcomeOf(err), "an order that was not sent must be reported as not-run")
}

// Guards against blaming a request for the end of an upstream that is only slow
// to accept connections, and against missing one that has ended.
func TestListening(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	client := NewClient(nil)
	listening, err := client.Listening(t.Context(), listener.Addr().String())
	require.NoError(t, err)
	require.True(t, listening)
	require.NoError(t, listener.Close())
	listening, err = client.Listening(t.Context(), nettest.RefusingAddress(t))
	require.NoError(t, err)
	require.False(t, listening)
	silent := NewClient(func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	listening, err = silent.Listening(ctx, "u")
	require.Error(t, err)
	require.True(t, listening, "silence is not the end of the process")
}

// Guards against an answer that changes the protocol unasked, after which no deadline
// ends the request, and against statuses that cannot be sent to a caller.
func TestStatusThatEndsNoRequest(t *testing.T) {
	for _, status := range []string{"101 Switching Protocols", "000 x", "099 x", "600 x", "999 x"} {
		for _, once := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, once=%v", status, once), func(t *testing.T) {
				s := startRawServer(t, func(s *rawServer, conn *net.TCPConn, _ int) {
					if _, err := s.readRequest(bufio.NewReader(conn)); err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n")
					// The server keeps the connection until the client closes it.
					_, _ = io.Copy(io.Discard, conn)
				})
				client, _ := newTestClient(t)
				started := time.Now()
				_, err := send(t.Context(), client, postTo(s, once))
				require.Error(t, err)
				require.Equal(t, fault.Unknown, fault.OutcomeOf(err))
				require.Equal(t, fault.UpstreamFailed, fault.CodeOf(err))
				require.Less(t, time.Since(started), 5*time.Second)
			})
		}
	}
}

// Guards against a path or query that reaches the upstream changed.
func TestRequestURIIsKept(t *testing.T) {
	got := make(chan string, 1)
	s := startRawServer(t, func(s *rawServer, conn *net.TCPConn, _ int) {
		in := bufio.NewReader(conn)
		for {
			line, err := in.Peek(4)
			if err != nil || len(line) == 0 {
				return
			}
			req, err := s.readRequest(in)
			if err != nil {
				return
			}
			got <- req.RequestURI
			_, _ = io.WriteString(conn, okReply)
		}
	})
	client, _ := newTestClient(t)
	for _, uri := range []string{"/", "/a/b?c=d", "/a|b", "/{a}/^`", "/a%7Cb", "/a?x={y}|z", "/a?", "/a#b", "/a//b", "/a/../b", "/caf\xc3\xa9", "/%2e%2E/%2f"} {
		d := postTo(s, false)
		d.URI = uri
		_, err := send(t.Context(), client, d)
		require.NoError(t, err, uri)
		require.Equal(t, uri, <-got)
	}
}

// Guards against requests on connections that were opened before the way to their
// upstream was cut, and against requests that are interrupted for that reason.
func TestRetire(t *testing.T) {
	release := make(chan struct{})
	s := startRawServer(t, func(s *rawServer, conn *net.TCPConn, _ int) {
		in := bufio.NewReader(conn)
		for {
			r, err := s.readRequest(in)
			if err != nil {
				return
			}
			if r.URL.Path == "/slow" {
				<-release
			}
			_, _ = io.WriteString(conn, okReply)
		}
	})
	dialed := atomic.Int32{}
	client := NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		dialed.Add(1)
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	})
	t.Cleanup(client.Close)
	get := func(uri string) error {
		resp, err := client.Do(t.Context(), Dispatch{Target: Target{ID: "u", Address: s.address}, Method: http.MethodGet, URI: uri, RequestID: "r"})
		if err != nil {
			return err
		}
		_, err = io.ReadAll(resp.Body)
		return errors.Join(err, resp.Body.Close())
	}
	for range 3 {
		require.NoError(t, get("/"))
	}
	require.EqualValues(t, 1, dialed.Load(), "the connection is kept")
	client.Retire(s.address)
	require.NoError(t, get("/"))
	require.EqualValues(t, 2, dialed.Load(), "another connection after it was retired")
	slow := make(chan error, 1)
	go func() { slow <- get("/slow") }()
	require.Eventually(t, func() bool { return s.requests.Load() == 5 }, 10*time.Second, time.Millisecond)
	client.Retire(s.address)
	close(release)
	require.NoError(t, <-slow, "a request in progress is not interrupted")
	require.NoError(t, get("/"))
	require.EqualValues(t, 3, dialed.Load())
}

// Guards against an upstream out of reach that is not noticed because requests go over
// kept connections, and against one that counts as silent although it sends.
func TestSilence(t *testing.T) {
	release := make(chan struct{})
	s := startRawServer(t, func(s *rawServer, conn *net.TCPConn, number int) {
		in := bufio.NewReader(conn)
		for {
			if _, err := s.readRequest(in); err != nil {
				return
			}
			if number == 1 {
				<-release
			}
			_, _ = io.WriteString(conn, okReply)
		}
	})
	client := NewClient(nil)
	t.Cleanup(client.Close)
	silent := make(chan string, 10)
	client.SetVia(Via{Dial: client.Direct, Silent: func(address string) { silent <- address }})
	get := func() error {
		resp, err := client.Do(t.Context(), Dispatch{Target: Target{ID: "u", Address: s.address}, Method: http.MethodGet, URI: "/", RequestID: "r"})
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	result := make(chan error, 1)
	go func() { result <- get() }()
	require.Equal(t, s.address, <-silent)
	go func() { result <- get() }()
	require.NoError(t, <-result)
	close(release)
	require.NoError(t, <-result)
	require.Empty(t, silent, "an answer ends the silence")
}
