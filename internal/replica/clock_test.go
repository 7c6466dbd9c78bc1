package replica

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/boottime"
	"github.com/bluebellfield/bluebellfield/internal/storage"
)

// Guards against a leader that believes in its lease after its machine was suspended.
// The others have elected another leader meanwhile, and the steady clock has stood
// still.
func TestLeaseEndsWhileSuspended(t *testing.T) {
	t.Parallel()
	var suspended atomic.Int64
	c := newCluster(t, nil)
	id := voterIDs[0]
	c.members[id].stop(c.net)
	clock := func() time.Time { return boottime.Now().Add(time.Duration(suspended.Load())) }
	m := c.start(t, id, storage.OS{}, func(o *Options) { o.Clock = clock })
	for leader, _ := c.leader(t); leader != m; leader, _ = c.leader(t) {
		_ = leader.TransferLeadership(testContext(t), id)
	}
	waitFor(t, "the leader has a lease", func() bool { held, err := m.LeaseHeld(testContext(t)); return err == nil && held })
	c.net.setIsolated(id, true)
	suspended.Store(int64(10 * time.Second))
	held, err := m.LeaseHeld(testContext(t))
	require.NoError(t, err)
	require.False(t, held)
	waitFor(t, "it has stepped down", func() bool { return !m.Status().IsLeader() })
}
