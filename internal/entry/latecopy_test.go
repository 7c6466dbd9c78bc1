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
			require.Positive(t, served)
		})
	}
}
