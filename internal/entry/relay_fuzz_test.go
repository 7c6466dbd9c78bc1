package entry

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/sse"
)

// Guards against bytes of an upstream that reach the caller although they are no part
// of its stream: the caller gets whole blocks of events and comments from the start
// of the body, and a whole response only if the body holds nothing else.
func FuzzRelayedStream(f *testing.F) {
	f.Add([]byte("id: 0\ndata: a\n\nid: 1\ndata: b\n\n"))
	f.Add([]byte("id: 0\ndata: a\n\nHTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nfailed"))
	f.Add([]byte("id: 0\r\ndata: a\r\n\r\n: ping\n\nid: 0\ndata: again\n\n"))
	f.Add([]byte("weight-versions: 3\nid: 7\ndata: a\n\n{\"error\":1}\n\n"))
	f.Add([]byte("\n\n\n:\n\ndata: a"))
	f.Fuzz(func(t *testing.T, body []byte) {
		var mu sync.Mutex
		sent := 0
		u := newUpstream(t, "u", func(_ *fakeUpstream, _ int, w http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			sent++
			mu.Unlock()
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = w.Write(body)
		})
		_, server := newEntry(t, u.record("model", "m"))
		// The route allows no second attempt, so that all bytes come from one.
		got := sendRequest(t, server, "/once/")
		require.Equal(t, 1, sent)
		if got.status != http.StatusOK {
			return
		}
		in := sse.NewRawReader(strings.NewReader(got.body), maxEventBytes)
		relayed := 0
		for {
			block, _, err := in.Read()
			if err != nil {
				require.ErrorIs(t, err, io.EOF, "a part of a block: %q", got.body)
				break
			}
			require.True(t, sse.Valid(block), "%q", block)
			relayed += len(block)
			require.True(t, bytes.Contains(body, block), "%q", block)
		}
		require.Equal(t, len(got.body), relayed)
		if got.whole {
			rest := sse.NewRawReader(bytes.NewReader(body), maxEventBytes)
			for {
				block, _, err := rest.Read()
				if err != nil {
					require.ErrorIs(t, err, io.EOF, "%q ended in a block and as complete", body)
					break
				}
				require.True(t, sse.Valid(block), "%q ended as complete", body)
			}
		}
	})
}
