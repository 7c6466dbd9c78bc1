package processtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
)

// answerLimits bound no test of answers.
var answerLimits = limits{memoryMB: 284, descriptors: 1024, maxBodyBytes: 8 << 20}

// raw answers a request with bytes that are no answer. It is called with the fields by
// which the upstream is recognized.
type raw func(conn *net.TCPConn, identity string)

func (r raw) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.ContentLength == ordinaryBodyBytes {
		serve(w, req)
		return
	}
	identity := http.Header{}
	echoIdentity(identity, req.Header)
	var fields strings.Builder
	_ = identity.Write(&fields)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	r(conn.(*net.TCPConn), fields.String())
}

// answer reads the answer to a request, of which a success or a body of the upstream
// may be reported only if the upstream has sent it so.
func (s *system) answer(t *testing.T, size int) (status int, body string, header http.Header, err error) {
	conn, err := net.DialTimeout("tcp", s.address, time.Second)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(requestTimeout)))
	go func() {
		_, _ = conn.Write(append(s.head(nextID(), fmt.Sprintf("Content-Length: %d", size)), s.body(size)...))
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), resp.Header, err
}

const answerPart = "part of an answer"

// Guards against a part of an answer that counts as all of it: an upstream answers a
// long upload at once, without a length, and resets the connection. Of the system
// calls after the reset only the first gets the error; if that is a write of the
// upload, the read sees an orderly end.
func TestAnswerResetDuringUpload(t *testing.T) {
	const repetitions, uploadBytes = 60, 8 << 20
	binary := buildDaemon(t)
	for _, serving := range servingPaths {
		t.Run(serving.name, func(t *testing.T) {
			s := serving.start(t, binary, answerLimits, raw(func(conn *net.TCPConn, identity string) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+identity+"\r\n"+answerPart)
				time.Sleep(10 * time.Millisecond)
				_ = conn.SetLinger(0)
			}))
			complete := 0
			for range repetitions {
				status, body, _, err := s.answer(t, uploadBytes)
				if err == nil && status == http.StatusOK {
					complete++
				}
				require.NotContains(t, body, "127.", "callers see no addresses")
			}
			require.Zero(t, complete, "successes that the upstream has not completed")
			require.True(t, s.ordinaryRequest(ordinaryBodyBytes))
		})
	}
}

// Guards against bytes that are no answer by RFC 9110 and RFC 9112 and reach the
// caller as one, or with a body that the upstream has not sent so.
func TestBytesThatAreNoAnswer(t *testing.T) {
	const size = ordinaryBodyBytes + 1
	binary := buildDaemon(t)
	for _, serving := range servingPaths {
		var head string
		s := serving.start(t, binary, answerLimits, raw(func(conn *net.TCPConn, identity string) {
			_, _ = io.WriteString(conn, strings.ReplaceAll(head, "{id}", strings.TrimSuffix(identity, "\r\n")))
		}))
		for _, c := range []struct{ name, head string }{
			{"status 000", "HTTP/1.1 000 Unknown\r\n{id}\r\nContent-Length: 4\r\n\r\nbody"},
			{"status 099", "HTTP/1.1 099 Unknown\r\n{id}\r\nContent-Length: 4\r\n\r\nbody"},
			{"status 600", "HTTP/1.1 600 Unknown\r\n{id}\r\nContent-Length: 4\r\n\r\nbody"},
			{"status 999", "HTTP/1.1 999 Unknown\r\n{id}\r\nContent-Length: 4\r\n\r\nbody"},
			{"blank before the colon", "HTTP/1.1 200 OK\r\n{id}\r\nX-Note : a\r\nContent-Length: 4\r\n\r\nbody"},
			{"blank in a name", "HTTP/1.1 200 OK\r\n{id}\r\nX Note: a\r\nContent-Length: 4\r\n\r\nbody"},
			{"blank in the name of the framing", "HTTP/1.1 200 OK\r\n{id}\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
			{"blank in the name of the length", "HTTP/1.1 200 OK\r\n{id}\r\nContent-Length : 4\r\n\r\nbody of more bytes"},
			{"control byte in a name", "HTTP/1.1 200 OK\r\n{id}\r\nX\x01Note: a\r\nContent-Length: 4\r\n\r\nbody"},
			{"NUL in a name", "HTTP/1.1 200 OK\r\n{id}\r\nX\x00Note: a\r\nContent-Length: 4\r\n\r\nbody"},
			{"tab in a name", "HTTP/1.1 200 OK\r\n{id}\r\nX\tNote: a\r\nContent-Length: 4\r\n\r\nbody"},
			{"byte over 127 in a name", "HTTP/1.1 200 OK\r\n{id}\r\nX\xe9Note: a\r\nContent-Length: 4\r\n\r\nbody"},
			{"no name", "HTTP/1.1 200 OK\r\n{id}\r\n: a\r\nContent-Length: 4\r\n\r\nbody"},
			{"NUL in a value", "HTTP/1.1 200 OK\r\n{id}\r\nX-Note: a\x00b\r\nContent-Length: 4\r\n\r\nbody"},
			{"CR in a value", "HTTP/1.1 200 OK\r\n{id}\r\nX-Note: a\rb\r\nContent-Length: 4\r\n\r\nbody"},
			{"blank in a name of an earlier head", "HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\nHTTP/1.1 200 OK\r\n{id}\r\nContent-Length: 4\r\n\r\nbody"},
			{"blank in a name of a trailer", "HTTP/1.1 200 OK\r\n{id}\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Note: a\r\n\r\n"},
		} {
			t.Run(serving.name+"/"+strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
				head = c.head
				status, body, header, err := s.answer(t, size)
				if err != nil {
					return // The connection was closed.
				}
				require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, status, "%s", body)
				require.NotContains(t, body, "body")
				require.Empty(t, header.Get("Bluebellfield-Server-Seal"))
				require.Empty(t, header.Get("X-Note"))
				require.Empty(t, header.Get(upstream.HeaderAttempt))
			})
		}
		head = "HTTP/1.1 103 Early Hints\r\nX-Note: a\r\n\r\nHTTP/1.1 200 OK\r\n{id}\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + served + "\r\n0\r\nX-Note: a\r\n\r\n"
		status, body, _, err := s.answer(t, size)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, body)
		require.True(t, s.ordinaryRequest(ordinaryBodyBytes))
	}
}
