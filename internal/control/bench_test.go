package control

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/internal/mesh"
	"github.com/bluebellfield/bluebellfield/internal/peer"
)

// BenchmarkUpdate measures the total processor time that sender and receiver
// spend on an update with one changed record.
func BenchmarkUpdate(b *testing.B) {
	addresses := map[string]string{}
	start := func(id string) *peer.Network {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		addresses[id] = listener.Addr().String()
		n := peer.Listen(listener, peer.Options{ID: id, Addresses: addresses, Logger: zap.NewNop(), Registry: metrics.NewRegistry()})
		b.Cleanup(func() { require.NoError(b, n.Close()) })
		return n
	}
	sender, receiver := start("a"), start("b")
	var received atomic.Int64
	receiver.Handle(mesh.ChannelUpdate, func(_ context.Context, _ string, payload []byte) ([]byte, error) {
		received.Add(1)
		return nil, proto.Unmarshal(payload, &mesh.Update{})
	})
	update := &mesh.Update{Source: 1, CatalogVersion: 7, Entries: 69, Leader: "10.1.0.44",
		Upstreams: []*mesh.Upstream{{Id: "i-18fb5febd4", Service: "s", Address: "10.1.64.5:8684", Group: "g1vf9h", Model: "m", Staged: []string{"m"}}}}
	for n := range 6 {
		update.Controls = append(update.Controls, fmt.Sprintf("10.%d.0.44", n))
	}
	began := processorTime(b)
	for n := range b.N {
		update.Number = uint64(n)
		payload, err := proto.Marshal(update)
		require.NoError(b, err)
		for !sender.Send("b", mesh.ChannelUpdate, payload) {
			time.Sleep(100 * time.Microsecond) // The send queue is full.
		}
	}
	for received.Load() < int64(b.N) {
		time.Sleep(100 * time.Microsecond)
	}
	b.ReportMetric(float64((processorTime(b)-began).Microseconds())/float64(b.N), "cpu-µs/update")
}

// processorTime returns the user and system time of the process.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
