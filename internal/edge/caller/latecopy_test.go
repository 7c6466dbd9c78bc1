package caller

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fake"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/settings"
)

// Guards against a second copy of an answer that arrives when its connection is in
// use again, and reaches the next caller as the answer to its request.
func TestLateCopyOfAnswerReachesNoOtherCaller(t *testing.T) {
	for _, header := range []string{"", upstream.HeaderRequestID} {
		t.Run("echoes "+header, func(t *testing.T) {
			copies, err := fake.StartLateCopies(header)
			require.NoError(t, err)
			t.Cleanup(copies.Close)
			h := newHarness(t, 0)
			h.extra = []upstream.Target{{ID: "u", Address: copies.Address()}}
			h.plainService.Kill()
			for n := range 6 {
				uri := fmt.Sprintf("/orders?n=%d", n)
				got := h.do(t.Context(), http.MethodGet, uri, "", nil)
				if got.status == http.StatusOK {
					require.Equal(t, uri, got.body, "request %d", n)
				}
				if header == "" {
					require.Equal(t, http.StatusOK, got.status)
				}
			}
		})
	}
}

// Guards against an earlier refusal that an engine writes once more on a kept
// connection: the caller is told that its request has not run while it is running,
// or gets an error that answers another request. Requests that must not run twice
// have a connection of their own.
func TestLateCopyOfRefusalIsNoRefusal(t *testing.T) {
	for name, refusal := range map[string]string{
		"not started": "HTTP/1.1 409 Conflict\r\n" + upstream.HeaderNotStarted + ": true\r\n",
		"replay rule": "HTTP/1.1 503 Service Unavailable\r\n",
		"error":       "HTTP/1.1 400 Bad Request\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := fake.StartLateRefusals(refusal, upstream.HeaderRequestID, upstream.HeaderAttempt)
			require.NoError(t, err)
			t.Cleanup(l.Close)
			h := newHarness(t, 0)
			h.route.NotStarted = []settings.NotStartedResponse{{Status: 503}}
			h.extra = []upstream.Target{{ID: "u", Address: l.Address()}}
			body := `{"model":"m","max_tokens":4,"messages":[{"role":"user","content":"hello"}]}`
			for range 4 {
				before := l.Runs()
				got := h.do(t.Context(), http.MethodPost, chatPath, body, nil)
				ran := l.Runs() - before
				if ran > 0 {
					require.NotEqual(t, string(fault.NotRun), got.header.Get(HeaderOutcome), got.body)
					require.NotEqual(t, http.StatusBadRequest, got.status, "the answer to another request")
				}
			}
			require.Positive(t, l.Runs())
		})
	}
}
