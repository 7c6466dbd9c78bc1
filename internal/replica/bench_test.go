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

// commandSize is about that of a claim without its answer.
const commandSize = 200

var benchCommand = []byte(strings.Repeat("x", commandSize))

// counter is a state machine whose state does not grow.
type counter struct{ count uint64 }

func (c *counter) Apply(uint64, []byte) []byte { c.count++; return nil }
func (c *counter) Snapshot() ([]byte, error)   { return binary.BigEndian.AppendUint64(nil, c.count), nil }
func (c *counter) Restore(data []byte) error   { c.count = binary.BigEndian.Uint64(data); return nil }

// BenchmarkPropose measures commands through three replicas with synced files.
// With one proposer each command has a sync of its own.
func BenchmarkPropose(b *testing.B) {
	for _, proposers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			c := newCluster(b, func(o *Options) { o.Machine = &counter{} })
			leader, _ := c.leader(b)
			propose(b, leader, 0, 1)
			ctx := context.Background()
			var next atomic.Int64
			var wait sync.WaitGroup
			b.ResetTimer()
			for range proposers {
				wait.Add(1)
				go func() {
					defer wait.Done()
					for next.Add(1) <= int64(b.N) {
						if _, err := leader.Propose(ctx, benchCommand); err != nil {
							b.Error(err)
							return
						}
					}
				}()
			}
			wait.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
		})
	}
}

// BenchmarkBarrier measures linearizable reads on the leader, under its lease,
// and on a follower, which asks the leader.
func BenchmarkBarrier(b *testing.B) {
	c := newCluster(b, nil)
	leader, others := c.leader(b)
	propose(b, leader, 0, 1)
	for name, m := range map[string]*member{"leader": leader, "follower": others[0]} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				require.NoError(b, m.Barrier(context.Background()))
			}
		})
	}
}

// BenchmarkRestart measures from Open until the entries are applied again, for
// a sole voter; the time includes its election.
func BenchmarkRestart(b *testing.B) {
	for _, entries := range []int{1000, 10_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			n, path := newNetwork(), b.TempDir()
			keepAll := func(o *Options) { soleVoter(o); o.SnapshotEntries, o.SnapshotBytes = 1<<30, 1<<30 }
			m := startMember(b, n, "a", path, storage.OS{}, keepAll)
			propose(b, m, 0, entries)
			for range b.N {
				m.stop(n)
				m = startMember(b, n, "a", path, storage.OS{}, keepAll)
				require.NoError(b, m.Barrier(context.Background()))
				require.Len(b, m.machine.list(), entries)
			}
		})
	}
}

// BenchmarkCatchUp measures from the return of a member that missed entries
// until it has applied them.
func BenchmarkCatchUp(b *testing.B) {
	for _, entries := range []int{1000, 10_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			keepAll := func(o *Options) { o.SnapshotEntries, o.SnapshotBytes = 1<<30, 1<<30 }
			c := newCluster(b, keepAll)
			leader, others := c.leader(b)
			propose(b, leader, 0, 1)
			missed, total := others[0], 1
			for range b.N {
				b.StopTimer()
				missed.stop(c.n)
				propose(b, leader, total, entries)
				total += entries
				b.StartTimer()
				missed = c.start(b, missed.o.ID, storage.OS{}, keepAll)
				index := leader.Applied()
				for missed.Applied() < index {
					<-missed.Watch()
				}
			}
		})
	}
}

// BenchmarkFailover measures from the end of the leader until a command is
// committed under the next one.
func BenchmarkFailover(b *testing.B) {
	c := newCluster(b, nil)
	leader, others := c.leader(b)
	propose(b, leader, 0, 1)
	for range b.N {
		// The time that the killed leader takes to close its files counts.
		leader.stop(c.n)
		propose(b, others[0], 0, 1)
		b.StopTimer()
		c.start(b, leader.o.ID, storage.OS{}, nil)
		leader, others = c.leader(b)
		for _, m := range c.members {
			require.NoError(b, m.Barrier(context.Background()))
		}
		b.StartTimer()
	}
}

// BenchmarkHeartbeatSize reports the bytes of a heartbeat and of its answer.
func BenchmarkHeartbeatSize(b *testing.B) {
	encode := func(m consensus.Message) float64 {
		m.From, m.To = consensus.NodeID{Instance: "control-1", Storage: 1 << 62}, consensus.NodeID{Instance: "control-2", Storage: 1 << 63}
		data, err := proto.Marshal(&Envelope{Body: &Envelope_Message{Message: wire.Encode(m)}})
		require.NoError(b, err)
		return float64(len(data))
	}
	var ask, answer float64
	for range b.N {
		ask = encode(consensus.Message{Type: consensus.MsgAppend, Term: 200, Index: 3_000_000, LogTerm: 200, Commit: 3_000_000, Round: 6_000_000})
		answer = encode(consensus.Message{Type: consensus.MsgAppendResponse, Term: 200, Index: 3_000_000, Round: 6_000_000})
	}
	b.ReportMetric(ask, "B/heartbeat")
	b.ReportMetric(answer, "B/answer")
}

// BenchmarkSnapshot measures the storing of a snapshot of 10,000 commands with
// its syncs, and reports its size.
func BenchmarkSnapshot(b *testing.B) {
	machine := &journal{}
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
