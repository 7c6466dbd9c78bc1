package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/internal/mesh"
)

// Guards against requests that queue up at the head of a lost group until the
// first of them has timed out: an upstream that stops making progress is avoided
// as soon as that is unusual.
func TestQuietUpstreamIsAvoided(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	after := func(d time.Duration) time.Time { return now.Add(d) }
	avoided := func(target *target, at time.Time) bool { return target.candidate(at, 7, 26, time.Second).Avoided }
	busy := &target{}
	busy.addRequest(now, 100, false)
	require.False(t, avoided(busy, after(quietTimeout)))
	require.True(t, avoided(busy, after(quietTimeout+time.Millisecond)))
	busy.recordProgress(after(300 * time.Millisecond))
	require.False(t, avoided(busy, after(400*time.Millisecond)), "an event shows that it works")
	idle := &target{}
	idle.addRequest(now, 100, false).end()
	require.False(t, avoided(idle, after(time.Minute)), "no progress is expected without requests")
	idle.addRequest(after(time.Minute), 100, false)
	require.False(t, avoided(idle, after(time.Minute+quietTimeout)), "the time without requests does not count")
}

// Guards against waiting for connections to a host that has lost power with
// every request, instead of with the first one.
func TestSlowConnectIsAvoided(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	dark := &target{}
	dark.recordSlowConnect(now)
	require.True(t, dark.avoided(now))
	require.False(t, dark.avoided(now.Add(initialBackoff)))
	dark.recordUnreachable(now)
	dark.recordUnreachable(now)
	dark.recordSlowConnect(now)
	require.True(t, dark.avoided(now.Add(2*initialBackoff-1)), "a longer backoff is kept")
}

// Guards against entries that try the head of a lost group one after the other:
// the leader withdraws a group that it has given up. If the leader falls silent,
// the entries go by the reports of the heads again.
func TestWithdrawnGroupsGetNoRequests(t *testing.T) {
	u := newUpstream(t, "u", stream(1, nil))
	e, _ := newEntry(t, u.record("model", "m"))
	var group string
	e.mu.Lock()
	for key := range e.targets {
		group = key.group
	}
	e.mu.Unlock()
	groups := func() int { return len(e.view.Load().services["model"].groups["m"]) }
	receive := func(number uint64, withdrawn *mesh.GroupList) {
		payload, err := proto.Marshal(&mesh.Update{Source: 3, Number: number, Complete: true, Withdrawn: withdrawn})
		require.NoError(t, err)
		_, err = e.serveUpdate(t.Context(), "10.0.0.1", payload)
		require.NoError(t, err)
	}
	require.Equal(t, 1, groups())
	receive(1, &mesh.GroupList{Groups: []string{group}})
	require.Zero(t, groups())
	receive(2, nil)
	require.Zero(t, groups(), "an instance that does not lead says nothing")
	receive(3, &mesh.GroupList{})
	require.Equal(t, 1, groups())
	receive(4, &mesh.GroupList{Groups: []string{group}})
	e.mu.Lock()
	e.expireWithdrawn(time.Now().Add(sourceTimeout + time.Second))
	e.mu.Unlock()
	require.Equal(t, 1, groups())
}
