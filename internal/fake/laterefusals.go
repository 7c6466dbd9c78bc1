package fake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// LateRefusals is an upstream that refuses the first request of each connection. When
// it begins to run another one there, it writes that refusal once more, and no answer.
type LateRefusals struct {
	listener net.Listener
	// head is the status line and the headers of the refusal. echoed names the
	// headers of the request that it repeats.
	head   string
	echoed []string
	runs   atomic.Int32
}

// StartLateRefusals starts a LateRefusals upstream.
func StartLateRefusals(head string, echoed ...string) (*LateRefusals, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &LateRefusals{listener: listener, head: head, echoed: echoed}
	go l.accept()
	return l, nil
}

// Address returns the address of the upstream.
func (l *LateRefusals) Address() string { return l.listener.Addr().String() }

// Runs returns the number of requests that it has begun to run.
func (l *LateRefusals) Runs() int { return int(l.runs.Load()) }

// Close stops the upstream from accepting connections.
func (l *LateRefusals) Close() { _ = l.listener.Close() }

func (l *LateRefusals) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

func (l *LateRefusals) serve(conn net.Conn) {
	defer conn.Close()
	in, refusal := bufio.NewReader(conn), ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if refusal == "" {
			refusal = l.head + "Content-Length: 0\r\n"
			for _, name := range l.echoed {
				refusal += name + ": " + r.Header.Get(name) + "\r\n"
			}
			refusal += "\r\n"
		} else {
			l.runs.Add(1)
		}
		if _, err := io.WriteString(conn, refusal); err != nil {
			return
		}
	}
}
