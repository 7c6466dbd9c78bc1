package caller

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
)

// Guards against an error, or the head of a response, that reaches the caller in the
// middle of its stream, and against a stream that then ends as if it were complete.
func TestNoErrorInTheMiddleOfStream(t *testing.T) {
	const eventStream = "text/event-stream"
	for name, answer := range map[string]struct {
		status            int
		contentType, body string
	}{
		"error":                 {http.StatusInternalServerError, "text/plain", "failed: no memory"},
		"refusal":               {http.StatusServiceUnavailable, "text/plain", "busy"},
		"error with status 200": {http.StatusOK, "application/json", `{"error":"failed: no memory"}`},
		"head in a stream":      {http.StatusOK, eventStream, "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nfailed: no memory\n\n"},
		"text in a stream":      {http.StatusOK, eventStream, "failed: no memory\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			resumed := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				for _, echoed := range []string{upstream.HeaderRequestID, upstream.HeaderAttempt} {
					w.Header().Set(echoed, r.Header.Get(echoed))
				}
				if r.Header.Get(upstream.HeaderResumePosition) != "" {
					resumed++
					w.Header().Set("Content-Type", answer.contentType)
					w.WriteHeader(answer.status)
					_, _ = io.WriteString(w, answer.body)
					return
				}
				w.Header().Set("Content-Type", eventStream)
				w.Header().Set(upstream.HeaderResumeToken, "token")
				for n := range 3 {
					_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"%d\"}}]}\n\n", n, n)
				}
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}))
			t.Cleanup(server.Close)
			h := newHarness(t, 0)
			h.canResume = true
			h.extra = []upstream.Target{{ID: "u", Address: strings.TrimPrefix(server.URL, "http://")}}
			got := h.stream("hello", 10)
			require.Positive(t, resumed)
			require.Equal(t, "012", got.content)
			require.False(t, got.complete)
			require.Error(t, got.err, "the connection must break")
			require.NotContains(t, got.body, "no memory")
			require.NotContains(t, got.body, "HTTP/1.1")
		})
	}
}
