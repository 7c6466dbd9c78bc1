package replica

import (
	"context"
	"encoding/binary"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/consensus"
	"github.com/bluebellfield/bluebellfield/consensus/wire"
	"github.com/bluebellfield/bluebellfield/internal/storage"
)

// commandSize is about the size of a claim without its answer.
const commandSize = 200

var benchCommand = []byte(strings.Repeat("x", commandSize))

// countingMachine is a state machine whose state does not grow.
type countingMachine struct{ count uint64 }

func (c *countingMachine) Apply(uint64, []byte) []byte { c.count++; return nil }
func (c *countingMachine) Snapshot() ([]byte, error) {
	return binary.BigEndian.AppendUint64(nil, c.count), nil
}
func (c *countingMachine) Restore(data []byte) error {
	c.count = binary.BigEndian.Uint64(data)
	return nil
}

// BenchmarkPropose measures the throughput of commands with three replicas and
// synced files. With one proposer, each command needs its own sync.
func BenchmarkPropose(b *testing.B) {
	for _, proposers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			c := newCluster(b, func(o *Options) { o.Machine = &countingMachine{} })
			leader, _ := c.leader(b)
			proposeCommands(b, leader, 0, 1)
			ctx := context.Background()
			var proposed atomic.Int64
			var wg sync.WaitGroup
			b.ResetTimer()
			for range proposers {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for proposed.Add(1) <= int64(b.N) {
						if _, err := leader.Propose(ctx, benchCommand); err != nil {
							b.Error(err)
							return
						}
					}
				}()
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
		})
	}
}

// BenchmarkBarrier measures linearizable reads on the leader, which holds a
// lease, and on a follower, which sends a request to the leader.
func BenchmarkBarrier(b *testing.B) {
	c := newCluster(b, nil)
	leader, others := c.leader(b)
	proposeCommands(b, leader, 0, 1)
	for name, m := range map[string]*member{"leader": leader, "follower": others[0]} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				require.NoError(b, m.Barrier(context.Background()))
			}
		})
	}
}

// BenchmarkRestart measures the restart of a sole voter until its entries are
// applied again. The time includes its election.
func BenchmarkRestart(b *testing.B) {
	for _, entries := range []int{1000, 10_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			n, path := newNetwork(), b.TempDir()
			withoutSnapshots := func(o *Options) { soleVoter(o); o.SnapshotEntries, o.SnapshotBytes = 1<<30, 1<<30 }
			m := startMember(b, n, "a", path, storage.OS{}, withoutSnapshots)
			proposeCommands(b, m, 0, entries)
			for range b.N {
				m.stop(n)
				m = startMember(b, n, "a", path, storage.OS{}, withoutSnapshots)
				require.NoError(b, m.Barrier(context.Background()))
				require.Len(b, m.machine.recorded(), entries)
			}
		})
	}
}

// BenchmarkCatchUp measures the time from the restart of a lagging member until
// it has applied the entries that it missed.
func BenchmarkCatchUp(b *testing.B) {
	for _, entries := range []int{1000, 10_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			withoutSnapshots := func(o *Options) { o.SnapshotEntries, o.SnapshotBytes = 1<<30, 1<<30 }
			c := newCluster(b, withoutSnapshots)
			leader, others := c.leader(b)
			proposeCommands(b, leader, 0, 1)
			lagging, total := others[0], 1
			for range b.N {
				b.StopTimer()
				lagging.stop(c.net)
				proposeCommands(b, leader, total, entries)
				total += entries
				b.StartTimer()
				lagging = c.start(b, lagging.opts.ID, storage.OS{}, withoutSnapshots)
				index := leader.Applied()
				for lagging.Applied() < index {
					<-lagging.Watch()
				}
			}
		})
	}
}

// BenchmarkFailover measures the time from stopping the leader until a command
// is committed under the next one.
func BenchmarkFailover(b *testing.B) {
	c := newCluster(b, nil)
	leader, others := c.leader(b)
	proposeCommands(b, leader, 0, 1)
	for range b.N {
		// The measured time includes closing the stopped leader's files.
		leader.stop(c.net)
		proposeCommands(b, others[0], 0, 1)
		b.StopTimer()
		c.start(b, leader.opts.ID, storage.OS{}, nil)
		leader, others = c.leader(b)
		for _, m := range c.members {
			require.NoError(b, m.Barrier(context.Background()))
		}
		b.StartTimer()
	}
}

// BenchmarkHeartbeatSize reports the encoded sizes of a heartbeat and of its
// response.
func BenchmarkHeartbeatSize(b *testing.B) {
	encode := func(m consensus.Message) float64 {
		m.From, m.To = consensus.NodeID{Instance: "control-1", Storage: 1 << 62}, consensus.NodeID{Instance: "control-2", Storage: 1 << 63}
		data, err := proto.Marshal(&Envelope{Body: &Envelope_Message{Message: wire.Encode(m)}})
		require.NoError(b, err)
		return float64(len(data))
	}
	var heartbeat, response float64
	for range b.N {
		heartbeat = encode(consensus.Message{Type: consensus.MsgAppend, Term: 200, Index: 3_000_000, LogTerm: 200, Commit: 3_000_000, Round: 6_000_000})
		response = encode(consensus.Message{Type: consensus.MsgAppendResponse, Term: 200, Index: 3_000_000, Round: 6_000_000})
	}
	b.ReportMetric(heartbeat, "B/heartbeat")
	b.ReportMetric(response, "B/answer")
}

// BenchmarkSnapshot measures storing a snapshot of 10,000 commands, including
// its syncs, and reports its size.
func BenchmarkSnapshot(b *testing.B) {
	machine := &recordingMachine{}
	for i := range 10_000 {
		machine.Apply(uint64(i), benchCommand)
	}
	d, err := storage.OpenDir(storage.OS{}, b.TempDir())
	require.NoError(b, err)
	l, _, err := d.OpenLog("log", storage.LogOptions{})
	require.NoError(b, err)
	data, err := machine.Snapshot()
	require.NoError(b, err)
	b.ResetTimer()
	for i := range b.N {
		require.NoError(b, l.SaveSnapshot(consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: uint64(i) + 1}, Data: data}))
	}
	b.ReportMetric(float64(len(data)), "B/snapshot")
	require.NoError(b, l.Close())
	require.NoError(b, d.Close())
}
