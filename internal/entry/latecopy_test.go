package entry

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/fleet"
	"github.com/bluebellfield/bluebellfield/internal/fake"
)

// Guards against a second copy of an answer that arrives when its connection is in
// use again, and reaches the next caller as the answer to its request.
func TestLateCopyOfAnswerReachesNoOtherCaller(t *testing.T) {
	for _, header := range []string{"", "Id"} {
		t.Run("echoes "+header, func(t *testing.T) {
			copies, err := fake.StartLateCopies(header)
			require.NoError(t, err)
			t.Cleanup(copies.Close)
			_, server := newEntry(t, fleet.Upstream{ID: "copies", Service: "app", Address: copies.Address(), FailureDomain: "z", StartMillis: 1, Sequence: 1, Slots: 6})
			served := 0
			for n := range 6 {
				path := fmt.Sprint("/read/", n)
				got := sendRequest(t, server, path, func(r *http.Request) { r.Header.Set("Id", fmt.Sprint("request-", n)) })
				if got.status == http.StatusOK {
					served++
					require.Equal(t, path, got.body, "request %d", n)
				}
			}
			// A success without an id is no answer of an upstream.
			require.Equal(t, header != "", served > 0)
		})
	}
}

// Guards against an earlier refusal that an upstream writes once more on a kept
// connection: the caller is told that its request has not run while it is running,
// or it runs at a second upstream.
func TestLateCopyOfRefusalIsNoRefusal(t *testing.T) {
	for name, echoed := range map[string][]string{"with its id": {"Id"}, "without an id": nil} {
		t.Run(name, func(t *testing.T) {
			l, err := fake.StartLateRefusals("HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n", echoed...)
			require.NoError(t, err)
			t.Cleanup(l.Close)
			other := newUpstream(t, "other", refuse(http.StatusServiceUnavailable))
			_, server := newEntry(t, fleet.Upstream{ID: "late", Service: "app", Address: l.Address(), FailureDomain: "z", StartMillis: 1, Sequence: 1, Slots: 6}, other.record("app", ""))
			for n := range 20 {
				ran, sent := l.Runs(), other.requests()
				got := sendRequest(t, server, "/order/x", func(r *http.Request) { r.Header.Set("Id", fmt.Sprint("request-", n)) })
				if l.Runs() == ran {
					continue
				}
				require.Equal(t, ran+1, l.Runs())
				require.Equal(t, http.StatusBadGateway, got.status, "503 promises that it has not run")
				require.LessOrEqual(t, other.requests()-sent, 1)
			}
			require.Positive(t, l.Runs())
		})
	}
}
