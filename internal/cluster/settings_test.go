package cluster

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/settings"
)

// disklessEntriesLayout returns a layout in which the last entry of two failure
// domains has no disk.
func disklessEntriesLayout() Layout {
	return Layout{Domains: []Domain{
		{Name: "a", Region: "r", Daemons: 3, Voters: 2},
		{Name: "b", Region: "r", Daemons: 2, Voters: 2},
		{Name: "c", Region: "r", Daemons: 2, Voters: 1},
	}, Settings: settingsTree(1)}
}

// Guards against a daemon that cannot forward a change to the leader, two changes
// applied to the same base, and a resent change that is applied again.
func TestChangesThroughEveryDaemon(t *testing.T) {
	t.Parallel()
	c := startClusterWith(t, disklessEntriesLayout())
	c.watchRevisions()
	base := c.Daemon("a1").Revision()
	for i, id := range c.IDs() {
		change := newChange("through-"+id, base, 100+i)
		first := c.proposeUntilAnswered(id, change)
		require.Equal(t, settings.Applied, first.Outcome())
		require.Equal(t, base+1, first.Revision)
		again := c.proposeUntilAnswered(c.otherIDs(id)[0], change)
		require.Equal(t, settings.Duplicate, again.Code)
		require.Equal(t, first.Revision, again.Revision)
		base = first.Revision
		c.eventually("the revision on all entries", func() bool { return c.revisionInForce(base, c.IDs()...) })
	}
	var wg sync.WaitGroup
	results := make([]settings.Result, len(c.IDs()))
	for i, id := range c.IDs() {
		wg.Go(func() { results[i] = c.proposeUntilAnswered(id, newChange("race-"+id, base, 200+i)) })
	}
	wg.Wait()
	outcomes := map[settings.ResultCode]int{}
	for _, r := range results {
		outcomes[r.Outcome()]++
	}
	require.Equal(t, map[settings.ResultCode]int{settings.Applied: 1, settings.Conflicting: len(results) - 1}, outcomes)
	for i, id := range c.IDs() {
		again := c.proposeUntilAnswered("a1", newChange("race-"+id, base, 200+i))
		require.Equal(t, settings.Duplicate, again.Code)
		require.Equal(t, results[i].Outcome(), again.First, "a resend must get the first result")
	}
}

// Guards against a change that is lost, applied twice or reverted when the leader
// of a log, an entry without a disk or the proposing entry is killed and restarted
// before, during or after the change.
func TestChangesSurviveKills(t *testing.T) {
	t.Parallel()
	c := startClusterWith(t, disklessEntriesLayout())
	c.watchRevisions()
	victims := map[string]func() string{
		"global leader":  func() string { return c.leader("global") },
		"domain leader":  func() string { return c.leader("domain-a") },
		"diskless entry": func() string { return "a3" },
		"proposer":       func() string { return "c1" },
	}
	value := 1000
	for _, name := range []string{"global leader", "domain leader", "diskless entry", "proposer"} {
		for _, step := range []string{"before", "during", "committed"} {
			value++
			victim := victims[name]()
			base := c.Daemon(c.otherIDs(victim)[0]).Revision()
			change := newChange(fmt.Sprintf("%s-%s", name, step), base, value)
			entry := "c1"
			if step == "before" {
				require.NoError(t, c.KillDaemon(victim))
			}
			if step == "during" {
				proposer := entry
				go func() { _, _ = c.tryPropose(proposer, change) }()
				require.NoError(t, c.KillDaemon(victim))
			}
			if entry == victim && step != "committed" {
				entry = "b2"
			}
			r := c.proposeUntilAnswered(entry, change)
			require.Equal(t, settings.Applied, r.Outcome(), "%s %s: %+v", name, step, r)
			require.Equal(t, base+1, r.Revision)
			c.restart(victim)
			c.eventually("the change on all entries", func() bool { return c.revisionInForce(r.Revision, c.IDs()...) })
		}
	}
}

// Guards against settings that revert in a partitioned failure domain, also when
// its entries restart, and against a domain that does not catch up afterwards.
func TestCutOffDomainKeepsSettings(t *testing.T) {
	t.Parallel()
	c := startClusterWith(t, disklessEntriesLayout())
	c.watchRevisions()
	first := c.proposeUntilAnswered("a1", newChange("first", c.Daemon("a1").Revision(), 100))
	c.eventually("the first change", func() bool { return c.revisionInForce(first.Revision, c.IDs()...) })
	c.PartitionDomain("a")
	c.eventually("a leader outside the domain", func() bool {
		_, err := c.tryPropose("b1", newChange("probe", 0, 1))
		return err == nil
	})
	second := c.proposeUntilAnswered("b1", newChange("second", first.Revision, 101))
	require.Equal(t, settings.Applied, second.Outcome())
	c.eventually("the second change outside the domain", func() bool { return c.revisionInForce(second.Revision, "b1", "b2", "c1", "c2") })
	for _, id := range []string{"a3", "a1"} {
		require.Equal(t, first.Revision, c.Daemon(id).Revision())
		c.restart(id)
		require.Equal(t, first.Revision, c.Daemon(id).Revision())
	}
	c.PartitionDomain("")
	c.eventually("the second change in the domain", func() bool { return c.revisionInForce(second.Revision, c.IDs()...) })
}

// Guards against a restarted entry that rejects valid keys as unknown, or puts old
// settings in force, while it cannot verify that its settings are the newest.
func TestRestartWithoutProof(t *testing.T) {
	t.Parallel()
	c := startClusterWith(t, disklessEntriesLayout())
	c.watchRevisions()
	c.addEngine("e1", "a")
	c.waitServed("a3")
	// The log of domain a has three voters. With two of them down, the entry cannot
	// verify its settings.
	voters := c.Config("a1").Logs.Domains["a"]
	require.Len(t, voters, 3)
	for _, id := range append([]string{"a3"}, voters[:2]...) {
		require.NoError(t, c.KillDaemon(id))
	}
	require.NoError(t, c.StartDaemon("a3"))
	for range 20 {
		r := c.paying.Stream(t.Context(), c.CallerURL("a3"), "rug-model", "rug", 5)
		require.Equal(t, http.StatusServiceUnavailable, r.Status, r.Body)
		require.Equal(t, fault.NotRun, r.Outcome)
		require.False(t, c.Daemon("a3").Ready())
		time.Sleep(100 * time.Millisecond)
	}
	require.NoError(t, c.StartDaemon(voters[0]))
	c.eventually("readiness of a3", func() bool { return c.Daemon("a3").Ready() })
	c.waitServed("a3")
}

// Guards against a daemon that cannot catch up after missing 1,000 changes.
func TestCatchUpAfterThousandChanges(t *testing.T) {
	t.Parallel()
	c := startClusterWith(t, disklessEntriesLayout())
	c.watchRevisions()
	const missed = 1000
	base := c.Daemon("a1").Revision()
	down := []string{"b2", "c2"}
	for _, id := range down {
		require.NoError(t, c.KillDaemon(id))
	}
	for i := range missed {
		r := c.proposeUntilAnswered("a1", newChange(fmt.Sprint("missed-", i), base+uint64(i), i+1))
		require.Equal(t, base+uint64(i)+1, r.Revision)
	}
	for _, id := range down {
		started := time.Now()
		require.NoError(t, c.StartDaemon(id))
		c.eventually("readiness of "+id, func() bool { return c.Daemon(id).Ready() })
		require.GreaterOrEqual(t, c.Daemon(id).Revision(), base, "in force when ready")
		c.eventually("all changes at "+id, func() bool { return c.Daemon(id).Revision() == base+missed })
		t.Logf("%s caught up with %d changes in %s", id, missed, time.Since(started).Round(time.Millisecond))
	}
}
