package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sameAnswer answers each connection with the same bytes after it has read the head of
// a request. It returns its URL.
func sameAnswer(t *testing.T, answer string, end func(*net.TCPConn)) string {
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
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, answer)
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against readers of answers beside the Client, such as the command-line tool,
// that accept what is no message or not complete.
func TestAnswerChecker(t *testing.T) {
	inOrder := func(*net.TCPConn) {}
	reset := func(c *net.TCPConn) {
		time.Sleep(10 * time.Millisecond)
		_ = c.SetLinger(0)
	}
	for _, c := range []struct {
		name, answer string
		end          func(*net.TCPConn)
		upload       int
		complete     bool
	}{
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", inOrder, 0, true},
		{"ends with its connection", "HTTP/1.1 200 OK\r\n\r\nbody", inOrder, 0, true},
		{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody", inOrder, 0, false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Note: a\r\nContent-Length: 4\r\n\r\nbody", inOrder, 0, false},
		{"reset during the upload", "HTTP/1.1 200 OK\r\n\r\nbody", reset, 16 << 20, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			url := sameAnswer(t, c.answer, c.end)
			for range 20 {
				transport := NewAnswerChecker(&http.Transport{DialContext: (&net.Dialer{}).DialContext})
				client := http.Client{Transport: transport, Timeout: 10 * time.Second}
				resp, err := client.Post(url, "text/plain", bytes.NewReader(make([]byte, c.upload)))
				var body []byte
				if err == nil {
					body, err = io.ReadAll(resp.Body)
					_ = resp.Body.Close()
				}
				transport.CloseIdleConnections()
				if !c.complete {
					require.Error(t, err)
					continue
				}
				require.NoError(t, err)
				require.Equal(t, "body", string(body))
			}
		})
	}
}

// Guards against names of fields that the library accepts and RFC 9110 does not.
func TestIsToken(t *testing.T) {
	for name, want := range map[string]bool{
		"Content-Type": true, "x_1.~": true, "": false, "a b": false, "a ": false, "a\x01": false, "a\x7f": false, "a\xe9": false, "a:": false, "a(": false,
	} {
		require.Equal(t, want, isToken(name), "%q", name)
	}
}
