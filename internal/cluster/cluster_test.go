package cluster

import (
	"context"
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

// patience bounds the waits of tests that have no bound of their own. It is
// long, so that a loaded machine does not change the verdict.
const patience = 30 * time.Second

func treeFor(groupSize int) string {
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

// testCluster is a cluster of today's layout.
type testCluster struct {
	*Cluster
	t      *testing.T
	paying Caller
	free   Caller
}

func start(t *testing.T, groupSize int) *testCluster {
	return startLayout(t, Today(treeFor(groupSize)))
}

func (c *testCluster) engine(id, domain string) *fake.Engine {
	cfg := fake.EngineConfig{TokenDelay: time.Millisecond}
	cfg.ID, cfg.FailureDomain, cfg.FabricDomain, cfg.Accelerators = id, domain, domain+"-f", 2
	cfg.Services = []string{"rug-model"}
	cfg.Models = []membership.Model{{Name: "rug-model"}}
	cfg.Features.Fencing = true
	e, err := c.AddEngine(cfg)
	require.NoError(c.t, err)
	return e
}

func (c *testCluster) orders(id, domain string) *fake.Plain {
	cfg := fake.PlainConfig{}
	cfg.ID, cfg.FailureDomain, cfg.Services = id, domain, []string{"orders"}
	p, err := c.AddPlain(cfg)
	require.NoError(c.t, err)
	return p
}

func (c *testCluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	require.NoError(c.t, WaitFor(patience, what, condition))
}

// served waits until an entry serves a stream and returns the answer.
func (c *testCluster) served(entry string) Answer {
	c.t.Helper()
	var a Answer
	c.eventually("a stream through "+entry, func() bool {
		a = c.paying.Stream(context.Background(), c.CallerURL(entry), "rug-model", "rug", 5)
		return a.Whole
	})
	require.Equal(c.t, fake.Answer("rug", 5), a.Content)
	return a
}

// Guards against an entry that cannot serve through upstreams that announced
// themselves to another one.
func TestEveryEntryServes(t *testing.T) {
	t.Parallel()
	c := start(t, 1)
	c.engine("e1", "a")
	for _, id := range c.IDs() {
		require.Equal(t, fault.Ran, c.served(id).Outcome)
	}
}

// Guards against an order with an idempotency key running twice when it is
// sent at once through every entry of every failure domain.
func TestOrderRunsOnceThroughAllEntries(t *testing.T) {
	t.Parallel()
	c := start(t, 1)
	p := c.orders("o1", "a")
	c.eventually("the first order", func() bool {
		return c.paying.Call(t.Context(), http.MethodPost, c.CallerURL("b1")+"/orders", "warm", "warm").Status == http.StatusOK
	})
	before := len(p.Runs())
	var all sync.WaitGroup
	answers := make([]Answer, len(c.IDs()))
	for i, id := range c.IDs() {
		all.Go(func() {
			answers[i] = c.paying.Call(t.Context(), http.MethodPost, c.CallerURL(id)+"/orders", "one", "one piece")
		})
	}
	all.Wait()
	require.Len(t, p.Runs(), before+1)
	for _, a := range answers {
		require.Equal(t, http.StatusOK, a.Status, a.Body)
		require.Equal(t, answers[0].Body, a.Body)
	}
}

// Guards against an order running again after the leader of the global log and
// the entry that ran it have gone.
func TestOrderSurvivesLeaderAndEntry(t *testing.T) {
	t.Parallel()
	c := start(t, 1)
	p := c.orders("o1", "c")
	send := func(entry string) Answer {
		return c.paying.Call(t.Context(), http.MethodPost, c.CallerURL(entry)+"/orders", "one", "one piece")
	}
	var first Answer
	c.eventually("the order", func() bool { first = send("b2"); return first.Status == http.StatusOK })
	c.eventually("the stored answer", func() bool { return send("c1").Replayed })
	leader := c.globalLeader()
	require.NoError(t, c.KillDaemon("b2"))
	require.NoError(t, c.KillDaemon(leader))
	for _, id := range c.IDs() {
		if c.Daemon(id) == nil {
			continue
		}
		var a Answer
		c.eventually("an answer through "+id, func() bool { a = send(id); return a.Status == http.StatusOK })
		require.True(t, a.Replayed)
		require.Equal(t, first.Body, a.Body)
	}
	require.Len(t, p.Runs(), 1)
}

func (c *testCluster) globalLeader() string {
	for _, id := range c.IDs() {
		if d := c.Daemon(id); d != nil && d.Leads("global") {
			return id
		}
	}
	return ""
}

// Guards against a cut-off failure domain that stops serving, runs an order
// that it cannot prove to be the first, or does not recover.
func TestCutOffDomain(t *testing.T) {
	t.Parallel()
	c := start(t, 1)
	c.engine("ea", "a")
	c.engine("ec", "c")
	p := c.orders("oc", "c")
	c.served("a1")
	c.served("c1")
	c.CutDomain("c")
	c.served("c1")
	c.served("a1")
	refused := c.paying.Call(t.Context(), http.MethodPost, c.CallerURL("c2")+"/orders", "one", "one piece")
	require.Equal(t, fault.NotRun, refused.Outcome)
	require.Empty(t, p.Runs())
	c.CutDomain("")
	var a Answer
	c.eventually("the order after the cut", func() bool {
		a = c.paying.Call(t.Context(), http.MethodPost, c.CallerURL("c2")+"/orders", "one", "one piece")
		return a.Status == http.StatusOK
	})
	require.Len(t, p.Runs(), 1)
}

// Guards against a replica group that serves without one of its members, and
// against one that is not repaired.
func TestGroupIsRepaired(t *testing.T) {
	t.Parallel()
	c := start(t, 2)
	engines := map[string]*fake.Engine{}
	for i := range 5 {
		id := fmt.Sprintf("e%d", i)
		engines[id] = c.engine(id, "a")
	}
	c.served("a1")
	leader := c.groupLeader(engines)
	leader.Kill()
	c.eventually("two whole groups again", func() bool {
		formed := map[string]int{}
		for _, e := range engines {
			if g := e.InForce(); g.Group != "" && e != leader {
				formed[fmt.Sprint(g.Group, g.Epoch)]++
			}
		}
		return len(formed) == 2 && allTwo(formed)
	})
	c.served("a1")
	c.served("b1")
}

func allTwo(counts map[string]int) bool {
	for _, n := range counts {
		if n != 2 {
			return false
		}
	}
	return true
}

// groupLeader returns a member of rank 0.
func (c *testCluster) groupLeader(engines map[string]*fake.Engine) *fake.Engine {
	for _, e := range engines {
		if g := e.InForce(); g.Group != "" && g.Rank == 0 {
			return e
		}
	}
	require.Fail(c.t, "no group has formed")
	return nil
}

// Guards against a planned stop that breaks a stream or refuses one before its
// readiness check has failed.
func TestPlannedStopFinishesStreams(t *testing.T) {
	t.Parallel()
	c := start(t, 1)
	c.engine("e1", "a")
	c.served("b1")
	var all sync.WaitGroup
	answers := make([]Answer, 8)
	for i := range answers {
		all.Go(func() {
			answers[i] = c.paying.Stream(context.Background(), c.CallerURL("b1"), "rug-model", fmt.Sprint("s", i), 300)
		})
	}
	c.eventually("the streams", func() bool { return c.Daemon("b1").InFlight() == len(answers) })
	require.NoError(t, c.StopDaemon(t.Context(), "b1"))
	all.Wait()
	for i, a := range answers {
		require.True(t, a.Whole, a.Err)
		require.Equal(t, fake.Answer(fmt.Sprint("s", i), 300), a.Content)
	}
}

// Guards against work sent to an upstream that said it leaves.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := start(t, 1)
	leaving, staying := c.engine("e1", "a"), c.engine("e2", "a")
	for _, id := range c.IDs() {
		c.served(id)
	}
	leaving.SetState(membership.Leaving)
	time.Sleep(2 * time.Second)
	before := len(leaving.Runs())
	for _, id := range c.IDs() {
		for range 3 {
			c.served(id)
		}
	}
	require.Len(t, leaving.Runs(), before)
	require.NotEmpty(t, staying.Runs())
}
