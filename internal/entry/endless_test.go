package entry

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/fleet"
)

// startEndless starts an upstream that answers each request with a prefix and then
// repeats a filler until the connection is closed. The channel receives the bytes
// that it could send.
func startEndless(t *testing.T, prefix, filler string) (fleet.Upstream, <-chan int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	sent := make(chan int, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				total, _ := conn.Write([]byte(prefix))
				chunk := []byte(strings.Repeat(filler, 4096/len(filler)+1))
				for {
					n, err := conn.Write(chunk)
					total += n
					if err != nil {
						sent <- total
						return
					}
				}
			}()
		}
	}()
	u := fleet.Upstream{ID: "endless", Service: "model", Address: listener.Addr().String(), StartMillis: 1, Sequence: 1, Slots: 26, Model: "m",
		Member: fleet.Membership{Group: "g", Epoch: 1, State: fleet.Open}}
	return u, sent
}

// Guards against an upstream in trouble that sends bytes without end, in each part
// of an answer: the reader must give up after a bounded number of bytes, close the
// connection, and not report success.
func TestEndlessBytesAreCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	// The limit of an event, and the socket buffers on both sides.
	const maxBytes = 8 << 20
	for _, test := range []struct{ name, prefix, filler string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"no answer", "", "x"},
		{"one header", "HTTP/1.1 200 OK\r\nX: ", "x"},
		{"many headers", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"chunk size", head, "0"},
		{"chunk extension", head + "5;", "x"},
		{"trailers", head + "0\r\n", "X: y\r\n"},
		{"event without an end", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "x"},
		{"blank lines", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			u, sent := startEndless(t, test.prefix, test.filler)
			_, server := newEntry(t, u)
			got := sendRequest(t, server, "/once/")
			require.False(t, got.status == http.StatusOK && got.whole, "%+v", got)
			require.Less(t, got.took, 2*time.Second)
			select {
			case n := <-sent:
				require.Less(t, n, maxBytes, fmt.Sprint("bytes read from ", test.name))
			case <-time.After(2 * time.Second):
				t.Fatal("the connection was not closed")
			}
		})
	}
}

// Guards against a stalled stream that is never moved because its upstream sends
// a comment now and then.
func TestCommentsAreNoProgress(t *testing.T) {
	bad := newUpstream(t, "bad", stream(3, func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			fmt.Fprint(w, ": still here\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	}))
	good := newUpstream(t, "good", stream(9, nil))
	_, server := newEntry(t, bad.record("model", "m"), good.record("model", "m"))
	got, _ := sendUntilChosen(t, server, "/chat/", bad, good)
	require.True(t, got.whole)
	require.Equal(t, events(9), strings.ReplaceAll(got.body, ": still here\n\n", ""))
}
