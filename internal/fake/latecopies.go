package fake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// LateCopies is an upstream that answers each request with its URI. Before each
// answer but the first of a connection it sends the previous one once more.
type LateCopies struct {
	listener net.Listener
	// idHeader names the header with the request's id that it echoes, empty for
	// none.
	idHeader string
}

// StartLateCopies starts a LateCopies upstream.
func StartLateCopies(idHeader string) (*LateCopies, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &LateCopies{listener, idHeader}
	go l.accept()
	return l, nil
}

// Address returns the address of the upstream.
func (l *LateCopies) Address() string { return l.listener.Addr().String() }

// Close stops the upstream from accepting connections.
func (l *LateCopies) Close() { _ = l.listener.Close() }

func (l *LateCopies) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

func (l *LateCopies) serve(conn net.Conn) {
	defer conn.Close()
	in, last := bufio.NewReader(conn), ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		answer := "HTTP/1.1 200 OK\r\n"
		if l.idHeader != "" {
			answer += l.idHeader + ": " + r.Header.Get(l.idHeader) + "\r\n"
		}
		uri := r.URL.RequestURI()
		answer += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(uri), uri)
		if _, err := io.WriteString(conn, last+answer); err != nil {
			return
		}
		last = answer
	}
}
