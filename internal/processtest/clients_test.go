package processtest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crowdLimits are the limits of the process that a crowd connects to. They are the
// bounds of the tests: memory includes the unread bytes of connections.
var crowdLimits = limits{memoryMB: 96, descriptors: 512, maxBodyBytes: 1 << 20}

const (
	crowdSize = 400
	// crowdTime is how long a crowd presses before the ordinary request.
	crowdTime = 5 * time.Second
)

// Guards against clients that end a process or keep ordinary callers from being
// served: crowds that send large bodies and stay connected short of their end, or
// send more than the limit. The untouched process exceeded its memory, mostly by the
// bytes that it did not read, and used up its descriptors.
func TestClientsThatDoNotBehave(t *testing.T) {
	binary := buildDaemon(t)
	for _, serving := range servingPaths {
		for _, w := range ways {
			t.Run(serving.name+"/"+w.name, func(t *testing.T) {
				s := serving.start(t, binary, crowdLimits, http.HandlerFunc(serve))
				require.Equal(t, http.StatusOK, s.request(crowdLimits.maxBodyBytes), "a single request at the limit, in calm")
				c := startCrowd(s, w.upload(s, crowdLimits), crowdSize)
				time.Sleep(crowdTime)
				besideCrowd := s.ordinaryRequest(ordinaryBodyBytes)
				c.leave()
				t.Log(c.summary())
				requireWithin(t, s, crowdLimits)
				require.True(t, besideCrowd, "an ordinary request beside the crowd is served")
				require.True(t, s.ordinaryRequest(ordinaryBodyBytes), "an ordinary request afterwards is served")
			})
		}
	}
}

// Guards against chats that take many times the memory of their bodies: each of the
// tiny messages became a structure, and the whole text was kept once more.
func TestChatsOfTinyMessages(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		serve(w, r)
	}
	s := startChatDaemon(t, buildDaemon(t), crowdLimits, http.HandlerFunc(slow))
	const message = `{},`
	body := `{"model":"model","messages":[` + strings.Repeat(message, crowdLimits.maxBodyBytes/len(message)-20) + `{}]}`
	c := startCrowd(s, upload{framing: fmt.Sprintf("Content-Length: %d", len(body)), pieces: [][]byte{[]byte(body)}}, crowdSize)
	time.Sleep(crowdTime)
	besideCrowd := s.ordinaryRequest(ordinaryBodyBytes)
	c.leave()
	t.Log(c.summary())
	requireWithin(t, s, crowdLimits)
	require.True(t, besideCrowd, "an ordinary request beside the crowd is served")
	require.True(t, s.ordinaryRequest(ordinaryBodyBytes), "an ordinary request afterwards is served")
}

// Guards against stalled bodies that hold all memory for bodies for as long as they
// like: large ones hold the part for large ones, small ones the rest. Both crowds stay
// below the limit of connections.
func TestStalledBodiesLeaveRoom(t *testing.T) {
	const largeClients, smallClients, smallBytes = 60, 100, 64 << 10
	binary := buildDaemon(t)
	for _, serving := range servingPaths {
		t.Run(serving.name, func(t *testing.T) {
			s := serving.start(t, binary, crowdLimits, http.HandlerFunc(serve))
			stalled := func(size, clients int) *crowd {
				body := s.body(size)
				return startCrowd(s, upload{framing: fmt.Sprintf("Content-Length: %d", size), pieces: [][]byte{body[:size-1]}, missing: body[size-1:], neverComplete: true}, clients)
			}
			small := stalled(smallBytes, smallClients)
			large := stalled(crowdLimits.maxBodyBytes, largeClients)
			time.Sleep(crowdTime)
			for n := range 20 {
				require.True(t, s.ordinaryRequest(ordinaryBodyBytes), "ordinary request %d beside the crowd is served", n)
			}
			require.True(t, s.ordinaryRequest(crowdLimits.maxBodyBytes), "a large request beside the crowd is served")
			small.leave()
			large.leave()
			t.Log(small.summary(), "; ", large.summary())
			requireWithin(t, s, crowdLimits)
		})
	}
}

// Guards against heads that take the memory: a head was read up to 1 MiB before the
// limit in force was applied to it.
func TestHeadsWithoutEnd(t *testing.T) {
	const headBytes = 900 << 10
	binary := buildDaemon(t)
	for _, serving := range servingPaths {
		t.Run(serving.name, func(t *testing.T) {
			s := serving.start(t, binary, crowdLimits, http.HandlerFunc(serve))
			framing := "Content-Length: 0\r\n" + strings.Repeat("X-Filler: "+strings.Repeat("x", 1000)+"\r\n", headBytes/1000) + "X-Last: no end"
			c := startCrowd(s, upload{framing: framing, neverComplete: true, openHead: true}, crowdSize)
			time.Sleep(crowdTime)
			besideCrowd := s.ordinaryRequest(ordinaryBodyBytes)
			c.leave()
			t.Log(c.summary())
			requireWithin(t, s, crowdLimits)
			require.True(t, besideCrowd, "an ordinary request beside the crowd is served")
			require.True(t, s.ordinaryRequest(ordinaryBodyBytes), "an ordinary request afterwards is served")
		})
	}
}

// Guards against requests that are rejected before their body is read and hold their
// connection for as long as their client keeps back the rest of the body.
func TestRejectedRequestsWithUnfinishedBodies(t *testing.T) {
	binary := buildDaemon(t)
	for _, serving := range servingPaths {
		t.Run(serving.name, func(t *testing.T) {
			s := serving.start(t, binary, crowdLimits, http.HandlerFunc(serve))
			rejected := *s
			rejected.path, rejected.fields = "/none/x", "Host: h.example\r\nAuthorization: Bearer none\r\n"
			c := startCrowd(&rejected, upload{framing: "Content-Length: 200000", pieces: [][]byte{[]byte("x")}, neverComplete: true}, crowdSize)
			time.Sleep(crowdTime)
			besideCrowd := s.ordinaryRequest(ordinaryBodyBytes)
			c.leave()
			t.Log(c.summary())
			requireWithin(t, s, crowdLimits)
			require.True(t, besideCrowd, "an ordinary request beside the crowd is served")
			require.True(t, s.ordinaryRequest(ordinaryBodyBytes), "an ordinary request afterwards is served")
		})
	}
}
