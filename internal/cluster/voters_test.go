package cluster

import (
	"context"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/consensus"
	"github.com/bluebellfield/bluebellfield/internal/replica"
	"github.com/bluebellfield/bluebellfield/settings"
)

const (
	// electionTimeout is long, so that delays on a loaded machine do not cause
	// elections.
	electionTimeout = 2 * time.Second
	// partitionTime is longer than two campaigns of a partitioned voter.
	partitionTime = 4 * electionTimeout
)

// longElectionLayout returns DefaultLayout with an election timeout so long that
// only partitions cause elections.
func longElectionLayout() Layout {
	layout := DefaultLayout(settingsTree(1))
	layout.ElectionTimeout = electionTimeout
	return layout
}

func (c *testCluster) changeVoters(log string, change replica.VoterChange) {
	c.t.Helper()
	c.eventually("the voter change", func() bool {
		ctx, cancel := context.WithTimeout(c.t.Context(), 5*time.Second)
		defer cancel()
		leader := c.leader(log)
		err := c.Daemon(leader).ChangeVoters(ctx, log, change)
		if err != nil {
			c.t.Logf("%s %s: %v", change.Kind, change.Instance, err)
		}
		return err == nil || c.removed(leader, log, change)
	})
}

// removed reports whether a removal has taken effect according to the leader. A
// removal whose result was unknown may have been committed later, and is then
// refused when it is repeated.
func (c *testCluster) removed(leader, log string, change replica.VoterChange) bool {
	target := consensus.NodeID{Instance: change.Instance, Storage: change.Storage}
	return change.Kind == replica.Remove && !slices.Contains(c.status(leader, log).Members.Voters, target)
}

func (c *testCluster) status(id, log string) replica.Status {
	c.t.Helper()
	s, ok := c.Daemon(id).LogStatus(log)
	require.True(c.t, ok, "%s does not host %s", id, log)
	return s
}

// Guards against an instance that lost its data folder and still votes with its old
// identity, which could elect a leader that lacks committed entries, and against
// one that cannot become a voter again.
func TestLostDataFolder(t *testing.T) {
	t.Parallel()
	c := startClusterWith(t, DefaultLayout(settingsTree(1)))
	c.watchRevisions()
	before := c.proposeUntilAnswered("a1", newChange("before", c.Daemon("a1").Revision(), 100))
	c.eventually("the first change", func() bool { return c.revisionInForce(before.Revision, c.IDs()...) })
	lostID := c.status("c1", "global").ID
	require.NoError(t, c.KillDaemon("c1"))
	require.NoError(t, os.RemoveAll(c.Config("c1").DataFolder))
	require.NoError(t, c.StartDaemon("c1"))
	c.eventually("readiness of c1", func() bool { return c.Daemon("c1").Ready() })
	c.eventually("the change at c1", func() bool { return c.revisionInForce(before.Revision, "c1") })
	require.NotEqual(t, lostID, c.status("c1", "global").ID)
	// Three of the other four voters of the global log are now needed for a
	// majority of five.
	without := c.proposeUntilAnswered("c1", newChange("without", before.Revision, 101))
	require.Equal(t, settings.Applied, without.Outcome())
	require.NoError(t, c.KillDaemon("a1"))
	require.NoError(t, c.KillDaemon("b1"))
	last := newChange("two voters", without.Revision, 102)
	_, err := c.tryPropose("a2", last)
	require.Error(t, err, "two of five voters and an instance without its data committed a change")
	require.NoError(t, c.StartDaemon("a1"))
	with := c.proposeUntilAnswered("a2", last)
	require.Equal(t, settings.Applied, with.Outcome())

	c.changeVoters("global", replica.VoterChange{Kind: replica.Remove, Instance: "c1", Storage: lostID.Storage})
	c.changeVoters("global", replica.VoterChange{Kind: replica.AddVoter, Instance: "c1"})
	c.eventually("c1 as a voter", func() bool {
		s := c.status("c1", "global")
		return slices.Contains(s.Members.Voters, s.ID) && !slices.Contains(s.Members.Voters, lostID)
	})
	// b1 is still down, so a2, b2 and c1 form the majority.
	require.NoError(t, c.KillDaemon("a1"))
	final := c.proposeUntilAnswered("a2", newChange("c1 votes", with.Revision, 103))
	require.Equal(t, settings.Applied, final.Outcome())
}

// Guards against a voter that returns from a long partition and disrupts a working
// leader.
func TestSilentVoterReturns(t *testing.T) {
	t.Parallel()
	c := startClusterWith(t, longElectionLayout())
	c.addEngine("e1", "a")
	c.waitServed("a1")
	leader := c.leader("global")
	partitioned := "c1"
	if leader == partitioned {
		partitioned = "b1"
	}
	term := c.status(leader, "global").Term
	c.Network.Partition(func(from, to string) bool { return from == partitioned || to == partitioned })
	time.Sleep(partitionTime)
	require.Equal(t, term, c.status(leader, "global").Term)
	c.Network.Partition(nil)
	change := c.proposeUntilAnswered("a1", newChange("after", c.Daemon("a1").Revision(), 100))
	c.eventually("the change at the partitioned voter", func() bool { return c.revisionInForce(change.Revision, partitioned) })
	require.Equal(t, consensus.Leader, c.status(leader, "global").Role)
	require.Equal(t, term, c.status(leader, "global").Term)
	c.waitServed(partitioned)
}

// Guards against an instance that accepts connections but cannot open any, or the
// reverse, and so stops the logs, causes repeated elections or does not serve.
func TestOneWayLossOfConnections(t *testing.T) {
	t.Parallel()
	for name, partitionOneWay := range map[string]func(one string) func(from, to string) bool{
		"the leader cannot connect":        func(one string) func(string, string) bool { return func(from, _ string) bool { return from == one } },
		"nobody can connect to the leader": func(one string) func(string, string) bool { return func(_, to string) bool { return to == one } },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startClusterWith(t, longElectionLayout())
			c.watchRevisions()
			c.addEngine("ea", "a")
			c.addEngine("eb", "b")
			c.waitServed("a1")
			partitioned := c.leader("global")
			base := c.Daemon("a1").Revision()
			c.Network.PartitionOneWay(partitionOneWay(partitioned))
			others := c.otherIDs(partitioned)
			change := c.proposeUntilAnswered(others[0], newChange("blocked", base, 100))
			c.eventually("the change on the other entries", func() bool { return c.revisionInForce(change.Revision, others...) })
			c.waitServed(others[0])
			c.waitServed(others[len(others)-1])
			settled := c.status(c.leader("global"), "global").Term
			time.Sleep(partitionTime)
			require.LessOrEqual(t, c.status(c.leader("global"), "global").Term, settled+1, "leaders change while one instance is partitioned one way")
			c.Network.PartitionOneWay(nil)
			healed := c.proposeUntilAnswered(partitioned, newChange("healed", change.Revision, 101))
			c.eventually("the change on all entries", func() bool { return c.revisionInForce(healed.Revision, c.IDs()...) })
			c.waitServed(partitioned)
		})
	}
}
