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

// withDisklessEntries is a layout in which the last entry of two failure
// domains has no disk.
func withDisklessEntries() Layout {
	return Layout{Domains: []Domain{
		{Name: "a", Region: "r", Daemons: 3, Voters: 2},
		{Name: "b", Region: "r", Daemons: 2, Voters: 2},
		{Name: "c", Region: "r", Daemons: 2, Voters: 1},
	}, Settings: treeFor(1)}
}

// Guards against a change that a daemon cannot pass on, two operators who both
// win against the same base, and a resend that is applied again.
func TestChangesThroughEveryDaemon(t *testing.T) {
	t.Parallel()
	c := startLayout(t, withDisklessEntries())
	c.watchRevisions()
	base := c.Daemon("a1").Revision()
	for i, id := range c.IDs() {
		change := aChange("through-"+id, base, 100+i)
		first := c.decide(id, change)
		require.Equal(t, settings.Applied, first.Outcome())
		require.Equal(t, base+1, first.Revision)
		again := c.decide(c.others(id)[0], change)
		require.Equal(t, settings.Duplicate, again.Code)
		require.Equal(t, first.Revision, again.Revision)
		base = first.Revision
		c.eventually("revision on all entries", func() bool { return c.inForce(base, c.IDs()...) })
	}
	var both sync.WaitGroup
	results := make([]settings.Result, len(c.IDs()))
	for i, id := range c.IDs() {
		both.Go(func() { results[i] = c.decide(id, aChange("race-"+id, base, 200+i)) })
	}
	both.Wait()
	outcomes := map[settings.ResultCode]int{}
	for _, r := range results {
		outcomes[r.Outcome()]++
	}
	require.Equal(t, map[settings.ResultCode]int{settings.Applied: 1, settings.Conflicting: len(results) - 1}, outcomes)
	for i, id := range c.IDs() {
		again := c.decide("a1", aChange("race-"+id, base, 200+i))
		require.Equal(t, settings.Duplicate, again.Code)
		require.Equal(t, results[i].Outcome(), again.First, "a resend gets the first answer")
	}
}

// Guards against a change that is lost, applied twice or reverted when the
// leader of a log or the entry that proposed it is killed and restarted at any
// step of the change.
func TestChangesSurviveKills(t *testing.T) {
	t.Parallel()
	c := startLayout(t, withDisklessEntries())
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
			base := c.Daemon(c.others(victim)[0]).Revision()
			change := aChange(fmt.Sprintf("%s-%s", name, step), base, value)
			entry := "c1"
			if step == "before" {
				require.NoError(t, c.KillDaemon(victim))
			}
			if step == "during" {
				proposer := entry
				go func() { _, _ = c.propose(proposer, change) }()
				require.NoError(t, c.KillDaemon(victim))
			}
			if entry == victim && step != "committed" {
				entry = "b2"
			}
			r := c.decide(entry, change)
			require.Equal(t, settings.Applied, r.Outcome(), "%s %s: %+v", name, step, r)
			require.Equal(t, base+1, r.Revision)
			c.restart(victim)
			c.eventually("the change on all entries", func() bool { return c.inForce(r.Revision, c.IDs()...) })
		}
	}
}

// Guards against settings that revert inside a failure domain that is cut off,
// also across restarts of its entries, and against one that does not catch up.
func TestCutOffDomainKeepsSettings(t *testing.T) {
	t.Parallel()
	c := startLayout(t, withDisklessEntries())
	c.watchRevisions()
	first := c.decide("a1", aChange("first", c.Daemon("a1").Revision(), 100))
	c.eventually("the first change", func() bool { return c.inForce(first.Revision, c.IDs()...) })
	c.CutDomain("a")
	c.eventually("a leader outside", func() bool {
		_, err := c.propose("b1", aChange("probe", 0, 1))
		return err == nil
	})
	second := c.decide("b1", aChange("second", first.Revision, 101))
	require.Equal(t, settings.Applied, second.Outcome())
	c.eventually("the second change outside", func() bool { return c.inForce(second.Revision, "b1", "b2", "c1", "c2") })
	for _, id := range []string{"a3", "a1"} {
		require.Equal(t, first.Revision, c.Daemon(id).Revision())
		c.restart(id)
		require.Equal(t, first.Revision, c.Daemon(id).Revision())
	}
	c.CutDomain("")
	c.eventually("the second change inside", func() bool { return c.inForce(second.Revision, c.IDs()...) })
}

// Guards against an entry that refuses callers as unknown, or puts older
// settings in force, while it cannot prove after a restart that its settings are
// the newest.
func TestRestartWithoutProof(t *testing.T) {
	t.Parallel()
	c := startLayout(t, withDisklessEntries())
	c.watchRevisions()
	c.engine("e1", "a")
	c.served("a3")
	// The log of domain a has three voters; without two of them nothing can be
	// proven.
	voters := c.Config("a1").Logs.Domains["a"]
	require.Len(t, voters, 3)
	for _, id := range append([]string{"a3"}, voters[:2]...) {
		require.NoError(t, c.KillDaemon(id))
	}
	require.NoError(t, c.StartDaemon("a3"))
	for range 20 {
		a := c.paying.Stream(t.Context(), c.CallerURL("a3"), "rug-model", "rug", 5)
		require.Equal(t, http.StatusServiceUnavailable, a.Status, a.Body)
		require.Equal(t, fault.NotRun, a.Outcome)
		require.False(t, c.Daemon("a3").Ready())
		time.Sleep(100 * time.Millisecond)
	}
	require.NoError(t, c.StartDaemon(voters[0]))
	c.eventually("readiness of a3", func() bool { return c.Daemon("a3").Ready() })
	c.served("a3")
}

// Guards against a daemon that cannot catch up after it missed 1,000 changes.
func TestCatchUpAfterThousandChanges(t *testing.T) {
	t.Parallel()
	c := startLayout(t, withDisklessEntries())
	c.watchRevisions()
	const missed = 1000
	base := c.Daemon("a1").Revision()
	down := []string{"b2", "c2"}
	for _, id := range down {
		require.NoError(t, c.KillDaemon(id))
	}
	for i := range missed {
		r := c.decide("a1", aChange(fmt.Sprint("missed-", i), base+uint64(i), i+1))
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
