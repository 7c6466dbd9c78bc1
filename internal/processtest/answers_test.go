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
				if status, _, _, err := s.answer(t, uploadBytes); err == nil && status == http.StatusOK {
					complete++
				}
			}
			require.Zero(t, complete, "successes that the upstream has not completed")
			require.True(t, s.ordinaryRequest(ordinaryBodyBytes))
		})
	}
}
