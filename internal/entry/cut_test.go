package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/fleet"
	"github.com/bluebellfield/bluebellfield/quarantine"
)

// cutOff is how an upstream ends an answer that is not whole.
type cutOff int

const (
	closes cutOff = iota
	resets
	// crashes closes the connection and the listener, as a process that ends.
	crashes
)

// startCut starts an upstream that sends the beginning of an answer to each request
// and then cuts it off. In the answer, ID stands for the request's id.
func startCut(t *testing.T, service, answer string, how cutOff) fleet.Upstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "ID", r.Header.Get("Id")))
				switch how {
				case resets:
					_ = conn.(*net.TCPConn).SetLinger(0)
				case crashes:
					_ = listener.Close()
				case closes:
				}
			}()
		}
	}()
	u := fleet.Upstream{ID: "cut", Service: service, Address: listener.Addr().String(), FailureDomain: "z", StartMillis: 1, Sequence: 1, Slots: 26}
	if service == "model" {
		u.Model, u.Member = "m", fleet.Membership{Group: "g", Epoch: 1, State: fleet.Open}
	}
	return u
}

// Guards against an answer that breaks off at any of its parts and reaches the
// caller as a complete success.
func TestCutAnswerIsNoSuccess(t *testing.T) {
	const (
		head     = "HTTP/1.1 200 OK\r\nId: ID\r\n"
		events   = "Content-Type: text/event-stream\r\n"
		chunked  = "Transfer-Encoding: chunked\r\n\r\n"
		unframed = "\r\n"
		event    = "id: 0\ndata: piece 0\n\n"
	)
	for _, test := range []struct {
		name, path, answer string
		// framed answers state their end, so that a closed connection is enough to
		// tell that they are not whole.
		framed bool
	}{
		{"nothing", "/read/x", "", true},
		{"inside the status line", "/read/x", "HTTP/1.1 2", true},
		{"inside the head", "/read/x", head, true},
		{"before the body", "/read/x", head + "Content-Length: 8\r\n\r\n", true},
		{"inside the body", "/read/x", head + "Content-Length: 8\r\n\r\nhalf", true},
		{"before the first chunk", "/read/x", head + chunked, true},
		{"inside a chunk's size", "/read/x", head + chunked + "1", true},
		{"inside a chunk", "/read/x", head + chunked + "8\r\nhalf", true},
		{"before the last chunk", "/read/x", head + chunked + "4\r\nhalf\r\n", true},
		{"inside the trailers", "/read/x", head + chunked + "4\r\nhalf\r\n0\r\n", true},
		{"inside a body without length", "/read/x", head + unframed + "half", false},
		{"inside a body over the buffer", "/read/x", head + "Content-Length: 900000\r\n\r\n" + strings.Repeat("x", 2*maxBufferedBytes), true},
		{"inside a body over the buffer, no length", "/read/x", head + unframed + strings.Repeat("x", 2*maxBufferedBytes), false},
		{"before the first event", "/chat/x", head + events + chunked, true},
		{"inside an event", "/chat/x", head + events + chunked + "5\r\nid: 0\r\n", true},
		{"between events", "/chat/x", head + events + chunked + "15\r\n" + event + "\r\n", true},
		{"before the first event, no length", "/chat/x", head + events + unframed, true},
		{"inside an event, no length", "/chat/x", head + events + unframed + "id: 0\nda", true},
		{"between events, no length", "/chat/x", head + events + unframed + event, false},
	} {
		for _, how := range []cutOff{closes, resets, crashes} {
			if how == closes && !test.framed {
				continue // the end of the connection is the end of the answer
			}
			t.Run(test.name+[]string{", closed", ", reset", ", crashed"}[how], func(t *testing.T) {
				service := "app"
				if test.path == "/chat/x" {
					service = "model"
				}
				// The domain of an upstream that has ended is in reach.
				witness := newUpstream(t, "witness", answer("ok"))
				e, server := newEntry(t, startCut(t, service, test.answer, how), witness.record("other", ""))
				got := sendRequest(t, server, test.path)
				require.False(t, got.status == http.StatusOK && got.whole, "%d %q", got.status, got.body)
				require.NotEqual(t, http.StatusServiceUnavailable, got.status, "it may have run")
				require.Equal(t, how == crashes, e.crashes.Tracker().KnownCrash(quarantine.Target{Upstream: "cut", Incarnation: 1}))
			})
		}
	}
}
