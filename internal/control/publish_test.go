package control

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/catalog"
	"github.com/bluebellfield/bluebellfield/fleet"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
	"github.com/bluebellfield/bluebellfield/internal/peer"
	"github.com/bluebellfield/bluebellfield/internal/storage"
	"github.com/bluebellfield/bluebellfield/placement"
)

// acceptOrders accepts every order without sending it.
type acceptOrders struct{}

func (acceptOrders) SendOrder(context.Context, placement.Order) (placement.Result, error) {
	return placement.Accepted, nil
}

// decodeServices decodes a document that lists the names of services.
func decodeServices(document []byte) (*catalog.Catalog, error) {
	var content catalog.Content
	for _, name := range strings.Fields(string(document)) {
		content.Services = append(content.Services, catalog.Service{Name: name})
	}
	return catalog.New(content)
}

// startControl starts a control instance that cannot reach any other. It
// becomes the leader if it is the only seed.
func startControl(t *testing.T, seeds ...string) *Control {
	c, stop := startControlAt(t, t.TempDir(), nil, seeds...)
	t.Cleanup(stop)
	return c
}

// startControlAt starts such an instance on a data folder, and returns the function
// that stops it. Adjust may change its options.
func startControlAt(t *testing.T, folder string, adjust func(*Options), seeds ...string) (c *Control, stop func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	network := peer.Listen(listener, peer.Options{ID: "127.0.0.1", Logger: zap.NewNop(), Registry: metrics.NewRegistry(),
		Resolve: func(string) (string, bool) { return "", false }})
	dir, err := storage.OpenDir(storage.OS{}, folder)
	require.NoError(t, err)
	options := Options{ID: "127.0.0.1", FailureDomain: "z", Seeds: seeds, Bootstrap: true, Dir: dir, Network: network,
		System: actor.NewActorSystem(), Decode: decodeServices,
		Orders: acceptOrders{}, HeartbeatInterval: time.Second, StallTime: time.Second, Logger: zap.NewNop(), Registry: metrics.NewRegistry()}
	if adjust != nil {
		adjust(&options)
	}
	c, err = Start(options)
	require.NoError(t, err)
	return c, func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		// The only voter cannot transfer its leadership, which is not a failure
		// of the test.
		if err := c.Close(ctx); err != nil {
			t.Logf("close: %v", err)
		}
		require.NoError(t, network.Close())
		require.NoError(t, dir.Close())
	}
}

func subscribe(t *testing.T, c *Control, id string) {
	payload, err := proto.Marshal(&mesh.Subscribe{FailureDomain: "z"})
	require.NoError(t, err)
	_, err = c.serveSubscribe(t.Context(), id, payload)
	require.NoError(t, err)
}

// Guards against sending the changes of a burst to each of many subscribers one
// by one, which makes the leader miss its heartbeats, and against delaying a
// single change.
func TestBurstOfChangesIsSentTogether(t *testing.T) {
	c := startControl(t, "127.0.0.1")
	listServices(t, c, 1, "s")
	const subscribers, changes = 70, 160
	for n := range subscribers {
		subscribe(t, c, fmt.Sprint("10.0.0.", n))
	}
	sent := func() (messages uint64, waiting int) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, s := range c.subscribers {
			messages += s.lastNumber
			waiting += len(s.pending)
		}
		return messages, waiting
	}
	idle := func() bool { _, waiting := sent(); return waiting == 0 }
	before, _ := sent()
	require.NoError(t, c.HandleReport(t.Context(), fleet.Upstream{ID: "first", Service: "s", Address: "10.1.0.1:1", StartMillis: 1, Sequence: 1}))
	require.Eventually(t, idle, UpdateInterval/4, time.Millisecond, "a single change is sent immediately")
	after, _ := sent()
	require.GreaterOrEqual(t, after-before, uint64(subscribers))
	before = after
	for n := range changes {
		require.NoError(t, c.HandleReport(t.Context(), fleet.Upstream{ID: fmt.Sprint("u", n), Service: "s", Address: fmt.Sprintf("10.2.0.%d:1", n), StartMillis: 1, Sequence: 1}))
	}
	require.Eventually(t, idle, time.Second, time.Millisecond)
	after, _ = sent()
	require.LessOrEqual(t, after-before, uint64(subscribers*changes/10))
}

// Guards against dividing the retry budget by too few entries: only some of the
// entries subscribe to a control instance that is not the leader.
func TestEntriesAreCountedByTheLeader(t *testing.T) {
	c := startControl(t, "127.0.0.1", "10.0.0.2", "10.0.0.3")
	subscribe(t, c, "10.0.1.1")
	receive := func(from string, entries uint32) {
		payload, err := proto.Marshal(&mesh.Update{Source: 1, Number: 1, Complete: true, Leader: "10.0.0.2", Entries: entries})
		require.NoError(t, err)
		_, err = c.serveUpdate(t.Context(), from, payload)
		require.NoError(t, err)
	}
	count := func() uint32 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.entryCount()
	}
	require.EqualValues(t, 1, count())
	receive("10.0.0.2", 69)
	require.EqualValues(t, 69, count())
	receive("10.0.0.3", 20)
	require.EqualValues(t, 69, count(), "only the leader's count is complete")
}

// Guards against entries that wait, after a crash, for the report of one that has
// stopped or is cut off, and against a list of all entries in each update.
func TestReachableEntriesAreSentOnChange(t *testing.T) {
	c := startControl(t, "127.0.0.1")
	sent := func(id string) (reachable []string, version uint64) {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.reachable, c.subscribers[id].reachableVersion
	}
	subscribe(t, c, "10.0.1.1")
	subscribe(t, c, "10.0.1.2")
	require.Eventually(t, func() bool {
		reachable, first := sent("10.0.1.1")
		_, second := sent("10.0.1.2")
		return len(reachable) == 2 && first == second
	}, time.Second, time.Millisecond)
	c.mu.Lock()
	require.Equal(t, []string{"z", "z"}, c.reachableList().FailureDomains)
	c.mu.Unlock()
	_, before := sent("10.0.1.1")
	subscribe(t, c, "10.0.1.1")
	_, after := sent("10.0.1.1")
	require.Equal(t, before, after, "no change")
	require.Eventually(t, func() bool {
		subscribe(t, c, "10.0.1.1")
		reachable, version := sent("10.0.1.1")
		return len(reachable) == 1 && version > before
	}, 2*reachableTimeout, 10*time.Millisecond, "one entry is silent")
}

// Guards against verdicts that are not stored or not passed on to entries, and
// against a log entry for each entry that has reached the same verdict.
func TestVerdictsAreStoredOnce(t *testing.T) {
	c := startControl(t, "127.0.0.1")
	subscribe(t, c, "10.0.1.1")
	until := time.Now().Add(10 * time.Minute).UnixMilli()
	offer := func(until int64) {
		payload, err := proto.Marshal(&mesh.VerdictList{Verdicts: []*mesh.Verdict{{Digest: []byte("0123456789abcdef"), UntilUnixMillis: until}}})
		require.NoError(t, err)
		_, err = c.serveVerdicts(t.Context(), "10.0.1.1", payload)
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool {
		offer(until)
		changes, list := c.verdictList()
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(list.Verdicts) == 1 && c.subscribers["10.0.1.1"].verdictChanges == changes
	}, 5*time.Second, 10*time.Millisecond)
	before, _ := c.machine.Verdicts()
	offer(until + 100)
	require.Never(t, func() bool { after, _ := c.machine.Verdicts(); return after != before }, 200*time.Millisecond, 20*time.Millisecond)
}

// Guards against a record that cannot be encoded and keeps all other records, among
// them departures, from the other instances.
func TestRecordThatCannotBeEncodedIsLeftOut(t *testing.T) {
	c := startControl(t, "127.0.0.1")
	valid := fleet.Upstream{ID: "valid", Service: "s", Address: "10.0.0.1:80", FailureDomain: "z", StartMillis: 1, Sequence: 1}
	invalid := valid
	invalid.ID = "\xff\xfe"
	payload, err := c.encodeUpdate(&mesh.Update{Number: 7, Upstreams: []*mesh.Upstream{mesh.EncodeUpstream(&invalid), mesh.EncodeUpstream(&valid)}})
	require.NoError(t, err)
	var update mesh.Update
	require.NoError(t, proto.Unmarshal(payload, &update))
	require.Equal(t, uint64(7), update.Number)
	require.Len(t, update.Upstreams, 1)
	require.Equal(t, "valid", update.Upstreams[0].Id)
}
