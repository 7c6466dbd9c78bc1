package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/fake"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/membership"
)

// waitTimeout bounds the waits of tests that have no more specific limit. It is
// long, so that tests do not fail on a loaded machine.
const waitTimeout = 30 * time.Second

func settingsTree(groupSize int) string {
	return fmt.Sprintf(`{
  "accounts": {
    "stable": {"class": "paying", "keyHashes": [%q]},
    "visitor": {"class": "free", "keyHashes": [%q]},
  },
  "services": {
    "rug-model": {"kind": "model", "model": "rug-model", "groupSize": %d},
    "orders": {"kind": "plain", "routes": ["POST /orders"]},
  },
}`, KeyHash("paying-key"), KeyHash("free-key"), groupSize)
}

// testCluster is a cluster with callers of a paying and a free client account.
type testCluster struct {
	*Cluster
	t      *testing.T
	paying Caller
	free   Caller
}

func startCluster(t *testing.T, groupSize int) *testCluster {
	return startClusterWith(t, DefaultLayout(settingsTree(groupSize)))
}

func (c *testCluster) addEngine(id, domain string) *fake.Engine {
	cfg := fake.EngineConfig{TokenDelay: time.Millisecond}
	cfg.ID, cfg.FailureDomain, cfg.FabricDomain, cfg.Accelerators = id, domain, domain+"-f", 2
	cfg.Services = []string{"rug-model"}
	cfg.Models = []membership.Model{{Name: "rug-model"}}
	cfg.Features.Fencing = true
	e, err := c.AddEngine(cfg)
	require.NoError(c.t, err)
	return e
}

func (c *testCluster) addOrderService(id, domain string) *fake.PlainService {
	cfg := fake.PlainServiceConfig{}
	cfg.ID, cfg.FailureDomain, cfg.Services = id, domain, []string{"orders"}
	p, err := c.AddPlainService(cfg)
	require.NoError(c.t, err)
	return p
}

func (c *testCluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	require.NoError(c.t, WaitFor(waitTimeout, what, condition))
}

// waitServed sends streams through an entry until one is complete, checks its
// content and returns it.
func (c *testCluster) waitServed(entry string) Response {
	c.t.Helper()
	var r Response
	c.eventually("a stream through "+entry, func() bool {
		r = c.paying.Stream(context.Background(), c.CallerURL(entry), "rug-model", "rug", 5)
		return r.Complete
	})
	require.Equal(c.t, fake.Answer("rug", 5), r.Content)
	return r
}

// Guards against an entry that cannot use upstreams that announced themselves to
// another entry.
func TestEveryEntryServes(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	c.addEngine("e1", "a")
	for _, id := range c.IDs() {
		require.Equal(t, fault.Ran, c.waitServed(id).Outcome)
	}
}

// Guards against running an order with an idempotency key twice when it is sent
// through all entries of all failure domains at the same time.
func TestOrderRunsOnceThroughAllEntries(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	p := c.addOrderService("o1", "a")
	c.eventually("the first order", func() bool {
		return c.paying.Call(t.Context(), http.MethodPost, c.CallerURL("b1")+"/orders", "warm", "warm").Status == http.StatusOK
	})
	before := len(p.Runs())
	var wg sync.WaitGroup
	responses := make([]Response, len(c.IDs()))
	for i, id := range c.IDs() {
		wg.Go(func() {
			responses[i] = c.paying.Call(t.Context(), http.MethodPost, c.CallerURL(id)+"/orders", "one", "one piece")
		})
	}
	wg.Wait()
	require.Len(t, p.Runs(), before+1)
	for _, r := range responses {
		require.Equal(t, http.StatusOK, r.Status, r.Body)
		require.Equal(t, responses[0].Body, r.Body)
	}
}

// Guards against running an order again after the leader of the global log and the
// entry that dispatched it were killed.
func TestOrderSurvivesLeaderAndEntry(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	p := c.addOrderService("o1", "c")
	send := func(entry string) Response {
		return c.paying.Call(t.Context(), http.MethodPost, c.CallerURL(entry)+"/orders", "one", "one piece")
	}
	var first Response
	c.eventually("the order", func() bool { first = send("b2"); return first.Status == http.StatusOK })
	c.eventually("the stored response", func() bool { return send("c1").Replayed })
	leader := c.currentGlobalLeader()
	require.NoError(t, c.KillDaemon("b2"))
	require.NoError(t, c.KillDaemon(leader))
	for _, id := range c.IDs() {
		if c.Daemon(id) == nil {
			continue
		}
		var r Response
		c.eventually("a response through "+id, func() bool { r = send(id); return r.Status == http.StatusOK })
		require.True(t, r.Replayed)
		require.Equal(t, first.Body, r.Body)
	}
	require.Len(t, p.Runs(), 1)
}

func (c *testCluster) currentGlobalLeader() string {
	for _, id := range c.IDs() {
		if d := c.Daemon(id); d != nil && d.IsLeader("global") {
			return id
		}
	}
	return ""
}

// Guards against a partitioned failure domain that stops serving, runs an order
// although it cannot exclude that the order has run elsewhere, or does not recover
// after the partition.
func TestCutOffDomain(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	c.addEngine("ea", "a")
	c.addEngine("ec", "c")
	p := c.addOrderService("oc", "c")
	c.waitServed("a1")
	c.waitServed("c1")
	c.PartitionDomain("c")
	c.waitServed("c1")
	c.waitServed("a1")
	refused := c.paying.Call(t.Context(), http.MethodPost, c.CallerURL("c2")+"/orders", "one", "one piece")
	require.Equal(t, fault.NotRun, refused.Outcome)
	require.Empty(t, p.Runs())
	c.PartitionDomain("")
	var r Response
	c.eventually("the order after the partition", func() bool {
		r = c.paying.Call(t.Context(), http.MethodPost, c.CallerURL("c2")+"/orders", "one", "one piece")
		return r.Status == http.StatusOK
	})
	require.Len(t, p.Runs(), 1)
}

// Guards against a replica group that serves without one of its members, and
// against one that is not repaired after the loss of a member.
func TestGroupIsRepaired(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2)
	engines := map[string]*fake.Engine{}
	for i := range 5 {
		id := fmt.Sprintf("e%d", i)
		engines[id] = c.addEngine(id, "a")
	}
	c.waitServed("a1")
	leader := c.groupLeaderEngine(engines)
	leader.Kill()
	c.eventually("two complete groups", func() bool {
		groupSizes := map[string]int{}
		for _, e := range engines {
			if g := e.InForce(); g.Group != "" && e != leader {
				groupSizes[fmt.Sprint(g.Group, g.Epoch)]++
			}
		}
		return len(groupSizes) == 2 && allOfSizeTwo(groupSizes)
	})
	c.waitServed("a1")
	c.waitServed("b1")
}

func allOfSizeTwo(counts map[string]int) bool {
	for _, n := range counts {
		if n != 2 {
			return false
		}
	}
	return true
}

// groupLeaderEngine returns the member of rank 0 of any group.
func (c *testCluster) groupLeaderEngine(engines map[string]*fake.Engine) *fake.Engine {
	for _, e := range engines {
		if g := e.InForce(); g.Group != "" && g.Rank == 0 {
			return e
		}
	}
	require.Fail(c.t, "no engine is in a group")
	return nil
}

// Guards against a graceful shutdown that interrupts a stream, or rejects one
// before the readiness check has failed.
func TestPlannedStopFinishesStreams(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	c.addEngine("e1", "a")
	c.waitServed("b1")
	var wg sync.WaitGroup
	const streams, streamTokens = 8, 300
	responses := make([]Response, streams)
	for i := range responses {
		wg.Go(func() {
			responses[i] = c.paying.Stream(context.Background(), c.CallerURL("b1"), "rug-model", fmt.Sprint("s", i), streamTokens)
		})
	}
	c.eventually("the streams", func() bool { return c.Daemon("b1").InFlight() == len(responses) })
	require.NoError(t, c.ShutdownDaemon(t.Context(), "b1"))
	wg.Wait()
	for i, r := range responses {
		require.True(t, r.Complete, r.Err)
		require.Equal(t, fake.Answer(fmt.Sprint("s", i), streamTokens), r.Content)
	}
}

// Guards against sending requests to an upstream that announced that it leaves.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	leaving, staying := c.addEngine("e1", "a"), c.addEngine("e2", "a")
	for _, id := range c.IDs() {
		c.waitServed(id)
	}
	leaving.SetState(membership.Leaving)
	time.Sleep(2 * time.Second)
	before := len(leaving.Runs())
	for _, id := range c.IDs() {
		for range 3 {
			c.waitServed(id)
		}
	}
	require.Len(t, leaving.Runs(), before)
	require.NotEmpty(t, staying.Runs())
}

// Guards against a daemon that accepts connections before its actors run. Run
// with -race, a restarting daemon that an upstream announces itself to at the
// same time reveals it.
func TestAnnouncementsDuringStart(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	body, err := json.Marshal(membership.Announcement{ID: "early", Incarnation: 1, Address: "127.0.0.1:9", FailureDomain: "a", Services: []string{"rug-model"}})
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	var announcers sync.WaitGroup
	for range 4 {
		announcers.Go(func() {
			for ctx.Err() == nil {
				resp, err := http.Post("http://"+c.Config("a1").Listen.Upstream+"/v1/announcements", "application/json", bytes.NewReader(body))
				if err == nil {
					resp.Body.Close()
				}
			}
		})
	}
	for range 3 {
		c.restart("a1")
	}
	stop()
	announcers.Wait()
}
