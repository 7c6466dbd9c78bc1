package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/membership"
)

// Guards against a heartbeat of a new incarnation that renews the lease of the
// earlier one. Other daemons would take the earlier incarnation to be alive.
func TestHeartbeatMovesTheLeaseToItsIncarnation(t *testing.T) {
	now := startTime
	peers := []membership.Peer{{ID: "d1", FailureDomain: "a"}, {ID: "d2", FailureDomain: "a"}}
	registries := map[string]*membership.Registry{}
	for _, p := range peers {
		r := membership.New(membership.Config{ID: p.ID, FailureDomain: "a", Incarnation: 7}, now)
		r.SetPeers(now, peers)
		registries[p.ID] = r
	}
	exchange := func() {
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			for id, r := range registries {
				for _, b := range r.Tick(now).Batches {
					registries[b.To].Merge(now, id, b.Batch)
				}
			}
		}
	}
	announce := func(daemon string, incarnation uint64) {
		registries[daemon].Announce(now, membership.Announcement{ID: "u", Incarnation: incarnation, Sequence: 1, State: membership.Ready, Services: []string{"s"}})
	}
	announce("d1", 1)
	exchange()
	announce("d2", 2)
	exchange()
	registries["d1"].Heartbeat(now, membership.Heartbeat{ID: "u", Incarnation: 2, Sequence: 2, State: membership.Draining})
	for _, b := range registries["d1"].Tick(now.Add(time.Second)).Batches {
		for _, record := range b.Batch.Records {
			if !record.Dropped {
				require.Equal(t, uint64(2), record.Incarnation, "a record of the earlier incarnation was renewed")
			}
		}
	}
}
