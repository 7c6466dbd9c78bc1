package caller

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fake"
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
