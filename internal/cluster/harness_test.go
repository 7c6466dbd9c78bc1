package cluster

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/globalstate"
	"github.com/bluebellfield/bluebellfield/settings"
)

// proposalTimeout bounds one attempt of a proposal, so that it is repeated if the
// daemon cannot get it decided.
const proposalTimeout = 3 * time.Second

func startClusterWith(t *testing.T, layout Layout) *testCluster {
	c, err := Start(t.TempDir(), layout)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	tc := &testCluster{Cluster: c, t: t, paying: Caller{Key: "paying-key"}, free: Caller{Key: "free-key"}}
	require.NoError(t, c.WaitReady(waitTimeout))
	// Until the first settings are committed, the instance that creates the global
	// log may be the only one that stores it.
	tc.eventually("the first settings", func() bool { return tc.revisionInForce(1, c.IDs()...) })
	return tc
}

// newChange returns a settings change that sets claimMaxRecords to a value.
func newChange(id string, base uint64, value int) settings.Change {
	return settings.Change{ID: id, Base: base, Author: "test", Ops: []settings.Op{
		{Op: settings.OpSet, Path: "/", Key: settings.KeyClaimMaxRecords, Value: settings.Number(float64(value))},
	}}
}

// tryPropose makes one attempt to commit a change through a daemon.
func (c *testCluster) tryPropose(entry string, change settings.Change) (settings.Result, error) {
	d := c.Daemon(entry)
	if d == nil {
		return settings.Result{}, fmt.Errorf("%s is down", entry)
	}
	command, err := globalstate.EncodeChange(change)
	if err != nil {
		return settings.Result{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposalTimeout)
	defer cancel()
	answer, err := d.ProposeCommand(ctx, command)
	if err != nil {
		return settings.Result{}, err
	}
	return globalstate.DecodeChangeResult(answer)
}

// describeLog returns the status of a log on each running daemon, for failure
// messages.
func (c *testCluster) describeLog(log string) string {
	var b strings.Builder
	for _, id := range c.IDs() {
		if d := c.Daemon(id); d != nil {
			if s, ok := d.LogStatus(log); ok {
				fmt.Fprintf(&b, "%s: role %v term %d leader %s commit %d last %d applied %d volatile %v voters %v\n",
					id, s.Role, s.Term, s.Leader, s.Commit, s.LastIndex, s.Applied, s.Volatile, s.Members.Voters)
			}
		}
	}
	return b.String()
}

// proposeUntilAnswered proposes a change through a daemon until it gets a result.
// All attempts have the same change id.
func (c *testCluster) proposeUntilAnswered(entry string, change settings.Change) settings.Result {
	c.t.Helper()
	var r settings.Result
	var last error
	if err := WaitFor(waitTimeout, "an answer to change "+change.ID+" through "+entry, func() bool {
		r, last = c.tryPropose(entry, change)
		return last == nil
	}); err != nil {
		require.NoError(c.t, err, "last error: %v\n%s", last, c.describeLog("global"))
	}
	return r
}

// revisionInForce reports whether all running daemons of ids are ready and have
// this or a newer revision in force.
func (c *testCluster) revisionInForce(revision uint64, ids ...string) bool {
	for _, id := range ids {
		if d := c.Daemon(id); d != nil && (!d.Ready() || d.Revision() < revision) {
			return false
		}
	}
	return true
}

// restart kills and restarts a daemon, or starts one that is down, and waits until
// it is ready.
func (c *testCluster) restart(id string) {
	c.t.Helper()
	require.NoError(c.t, c.KillDaemon(id))
	require.NoError(c.t, c.StartDaemon(id))
	c.eventually("readiness of "+id, func() bool { return c.Daemon(id).Ready() })
}

// leader waits for a running daemon that leads a log.
func (c *testCluster) leader(log string) string {
	c.t.Helper()
	var leader string
	c.eventually("a leader of "+log, func() bool {
		leader = ""
		for _, id := range c.IDs() {
			if d := c.Daemon(id); d != nil && d.IsLeader(log) {
				leader = id
			}
		}
		return leader != ""
	})
	return leader
}

// watchRevisions samples the revision in force on each ready entry until the end of
// the test. The test fails if a revision decreases, including across a restart.
func (c *testCluster) watchRevisions() {
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		newest := map[string]uint64{}
		for {
			select {
			case <-stop:
				return
			case <-time.After(pollInterval):
			}
			for _, id := range c.IDs() {
				d := c.Daemon(id)
				if d == nil || !d.Ready() {
					continue
				}
				revision := d.Revision()
				if revision < newest[id] {
					c.t.Errorf("entry %s went back from revision %d to %d", id, newest[id], revision)
				}
				newest[id] = max(newest[id], revision)
			}
		}
	})
	c.t.Cleanup(func() { close(stop); done.Wait() })
}

func (c *testCluster) otherIDs(id string) []string {
	var list []string
	for _, other := range c.IDs() {
		if other != id {
			list = append(list, other)
		}
	}
	return list
}
