package wire_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/membership/wire"
)

// Guards against fields that the encoding omits, and against out-of-range numbers
// in reports of other processes.
func TestRoundTrip(t *testing.T) {
	load := membership.Load{Sequence: 9, Running: 3, Queued: 4, KVUse: 0.25, TokensPerSecond: 800}
	b := membership.Batch{
		Incarnation: 1, Clock: 2, PeerIncarnation: 3, Echo: 4, EchoHold: 5, Have: 6, Resync: true, Stopping: true, Full: true, From: 7, To: 8, AllAge: 9,
		Records: []membership.Record{{Slot: 1, Dropped: true}, {
			Slot: 2, ID: "u", Incarnation: 3, Sequence: 4, State: membership.Draining, InForce: membership.GroupRef{Group: "g", Epoch: 5, Rank: 6}, Load: load,
			Announcement: &membership.Announcement{
				ID: "u", Incarnation: 3, Address: "10.0.0.1:1", FailureDomain: "a", FabricDomain: "f", Kind: membership.ModelEngine,
				Services: []string{"s"}, Role: membership.RoleDecode, Models: []membership.Model{{Name: "m", Version: "1", Adapter: "x"}},
				Features:     membership.Features{Fencing: true, Priorities: true, Resume: true, Cancel: true, KVTransfer: true, OrderAuth: true, Echo: true},
				Accelerators: 2, MaxConcurrent: 64, State: membership.Ready, Sequence: 4,
			},
		}},
		Except: []membership.SlotAge{{Slot: 2, Age: 1500}, {Slot: 3, Age: -1}},
		Loads:  []membership.SlotLoad{{Slot: 2, Load: load}},
	}
	data, err := wire.Encode(b)
	require.NoError(t, err)
	got, err := wire.Decode(data)
	require.NoError(t, err)
	require.Equal(t, b, got)

	data, err = wire.Encode(membership.Batch{Loads: []membership.SlotLoad{{Load: membership.Load{Running: -1, TokensPerSecond: 1e300}}}})
	require.NoError(t, err)
	got, err = wire.Decode(data)
	require.NoError(t, err)
	require.Zero(t, got.Loads[0].Load.Running)
	_, err = wire.Decode([]byte{0xff})
	require.Error(t, err)
}
