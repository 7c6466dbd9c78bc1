package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/internal/mesh"
)

// oddTexts are values that a header may carry and that are no UTF-8, no name, or very
// long.
var oddTexts = []string{"caf\xe9", "\xff\xfe", "\x80", "a\tb", strings.Repeat("\xc3", 3000), "%FF", "m\xe9,m"}

// Guards against bytes of a caller that keep an entry from sending messages to other
// instances: an entry that could not renew its subscriptions obeyed an old catalog.
func TestOddBytesOfCallersDoNotStopMessages(t *testing.T) {
	c := newEntryCluster(t, 2)
	startLimitedEngine(t, c, "engine", "")
	number := 0
	send := func(path, name, value string) {
		number++
		m := c.member(0)
		req, err := http.NewRequest(http.MethodPost, m.server.URL+path, strings.NewReader("body"))
		require.NoError(t, err)
		req.Host = "h.example"
		req.Header.Set("Id", fmt.Sprint("odd-", number))
		req.Header.Set("Key", "key")
		req.Header.Set("Model", "m")
		req.Header.Set(name, value)
		resp, err := m.client.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
	}
	for _, path := range []string{"/chat/x", "/read/x", "/unknown/x"} {
		for _, name := range []string{"Id", "Key", "Model", "Parts", "Idempotency-Key", "User-Agent"} {
			for _, value := range oddTexts {
				send(path, name, value)
			}
		}
	}
	from := time.Now()
	renewed := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.renewed[c.ids[0]].After(from)
	}
	require.Eventually(t, func() bool { send("/chat/x", "Model", oddTexts[0]); return renewed() }, 10*time.Second, 100*time.Millisecond, "the subscription is renewed")
	status, whole, _ := c.chat(0, "sound", "body", "")
	require.Equal(t, http.StatusOK, status)
	require.True(t, whole)
}

// Guards against names of models that grow the memory of an entry and its messages.
func TestDemandForUnknownModelsIsNotKept(t *testing.T) {
	e, server := newEntry(t)
	for n := range 50 {
		sendRequest(t, server, "/chat/x", func(r *http.Request) { r.Header.Set("Model", fmt.Sprint("model-", n)) })
		sendRequest(t, server, "/read/x", func(r *http.Request) { r.Header.Set("Model", oddTexts[0]) })
	}
	sendRequest(t, server, "/chat/x")
	demands := e.demand.take()
	require.Len(t, demands, 1)
	require.Equal(t, "m", demands[0].Model)
	_, err := proto.Marshal(&mesh.Subscribe{Demands: demands})
	require.NoError(t, err)
}
