package cluster

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/fake"
	"github.com/bluebellfield/bluebellfield/membership"
)

const (
	groupSize = 2
	// maxStaleDispatch is the time for which the design permits dispatches to a
	// group that has lost a member: the age limit of 3 s plus 0.1% of clock drift.
	maxStaleDispatch = 3*time.Second + 3*time.Millisecond
	// tokensPerRequest is low, so that many requests are sent in each state.
	tokensPerRequest = 2
	requestTimeout   = 2 * time.Second
)

// groupCluster runs replica groups in failure domain a under load.
type groupCluster struct {
	*testCluster
	fencing bool
	// running holds the running engines by id, started also those that were killed.
	running map[string]*fake.Engine
	started []*fake.Engine

	mu             sync.Mutex
	sentAt         map[string]time.Time
	wrongResponses []string
}

func startGroups(t *testing.T, fencing bool) *groupCluster {
	checksFencing := "no"
	if fencing {
		checksFencing = "yes"
	}
	tree := strings.Replace(settingsTree(groupSize), `"groupSize"`, fmt.Sprintf(`"checksFencing": %q, "groupSize"`, checksFencing), 1)
	c := &groupCluster{
		testCluster: startClusterWith(t, DefaultLayout(tree)), fencing: fencing, running: map[string]*fake.Engine{}, sentAt: map[string]time.Time{},
	}
	for i := range 5 {
		c.startEngine(fmt.Sprint("e", i))
	}
	c.waitGroupsComplete("the first groups")
	return c
}

// startEngine starts an engine. If one with this id was killed, it is the next
// incarnation of it.
func (c *groupCluster) startEngine(id string) {
	c.t.Helper()
	cfg := fake.EngineConfig{TokenDelay: time.Millisecond, IgnoreFencing: !c.fencing}
	cfg.ID, cfg.FailureDomain, cfg.FabricDomain, cfg.Accelerators = id, "a", "a-f", 2
	cfg.Services = []string{"rug-model"}
	cfg.Models = []membership.Model{{Name: "rug-model"}}
	cfg.Features.Fencing = c.fencing
	e, err := c.AddEngine(cfg)
	require.NoError(c.t, err)
	c.running[id] = e
	c.started = append(c.started, e)
}

func (c *groupCluster) killEngine(id string) {
	c.running[id].Kill()
	delete(c.running, id)
}

// groupMembers returns the running engines that are in a group, ordered by group
// and rank.
func (c *groupCluster) groupMembers() []string {
	var ids []string
	for id, e := range c.running {
		if e.InForce().Group != "" {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		x, y := c.running[a].InForce(), c.running[b].InForce()
		if d := strings.Compare(x.Group, y.Group); d != 0 {
			return d
		}
		return x.Rank - y.Rank
	})
	return ids
}

// waitGroupsComplete waits until the running engines form as many complete groups
// as possible and entries can serve through them. An engine that is not needed may
// still have its previous group in force.
func (c *groupCluster) waitGroupsComplete(what string) {
	c.t.Helper()
	c.eventually("complete groups after "+what, func() bool {
		groupSizes := map[string]int{}
		for _, e := range c.running {
			if g := e.InForce(); g.Group != "" {
				groupSizes[fmt.Sprint(g.Group, g.Epoch)]++
			}
		}
		complete := 0
		for _, n := range groupSizes {
			complete += n / groupSize
		}
		return complete == len(c.running)/groupSize
	})
	c.waitServed("a2")
	c.waitServed("c2")
}

// startLoad sends requests through entries of all failure domains until the
// returned function is called.
func (c *groupCluster) startLoad() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, entry := range []string{"a1", "a2", "b1", "c1"} {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				prompt := fmt.Sprintf("%s-%d", entry, n)
				c.mu.Lock()
				c.sentAt[prompt] = time.Now()
				c.mu.Unlock()
				attemptCtx, cancelAttempt := context.WithTimeout(ctx, requestTimeout)
				r := c.paying.Stream(attemptCtx, c.CallerURL(entry), "rug-model", prompt, tokensPerRequest)
				cancelAttempt()
				if r.Complete && r.Content != fake.Answer(prompt, tokensPerRequest) {
					c.mu.Lock()
					c.wrongResponses = append(c.wrongResponses, prompt)
					c.mu.Unlock()
				}
				time.Sleep(pollInterval)
			}
		})
	}
	return func() { cancel(); wg.Wait() }
}

// checkRuns requires that no request ran in a group with a missing member. A
// member is missing if it has not joined yet, or if it left or was lost more than
// maxStaleDispatch before the caller sent the request.
func (c *groupCluster) checkRuns() {
	c.t.Helper()
	require.Empty(c.t, c.wrongResponses, "responses that belong to other requests")
	checked := 0
	for _, e := range c.started {
		for _, r := range e.Runs() {
			sent, ok := c.sentAt[r.Body]
			if !ok {
				continue
			}
			checked++
			members := c.assignedMembers(r)
			require.Len(c.t, members, groupSize, "%s ran %s for group %s epoch %d", e.Announcement().ID, r.Body, r.Group, r.Epoch)
			for _, id := range members {
				c.checkMemberAtRun(id, r, sent)
			}
		}
	}
	c.t.Logf("%d runs checked", checked)
	require.Greater(c.t, checked, 100)
}

// assignedMembers returns the members of a run's group according to the accepted
// orders.
func (c *groupCluster) assignedMembers(r fake.Run) []string {
	for _, e := range c.started {
		for _, a := range e.Assignments() {
			if a.Group == r.Group && a.Epoch == r.Epoch {
				return a.Members
			}
		}
	}
	return nil
}

// checkMemberAtRun requires that a member was not missing from the group of a run.
func (c *groupCluster) checkMemberAtRun(id string, r fake.Run, sent time.Time) {
	c.t.Helper()
	for _, e := range c.started {
		if e.Announcement().ID != id {
			continue
		}
		assignments := e.Assignments()
		i := slices.IndexFunc(assignments, func(a fake.Assignment) bool { return a.Group == r.Group && a.Epoch == r.Epoch })
		if i < 0 {
			continue
		}
		require.False(c.t, r.At.Before(assignments[i].At), "%s ran before %s had joined group %s epoch %d", r.Body, id, r.Group, r.Epoch)
		for _, next := range assignments[i+1:] {
			if next.Group != r.Group || next.Epoch != r.Epoch {
				require.False(c.t, sent.After(next.At.Add(maxStaleDispatch)), "%s ran %s after %s had left group %s epoch %d",
					r.Body, r.At.Sub(next.At), id, r.Group, r.Epoch)
			}
		}
		for _, outage := range e.Outages() {
			tooLate := sent.After(outage.From.Add(maxStaleDispatch)) && (outage.Until.IsZero() || r.At.Before(outage.Until))
			require.False(c.t, tooLate, "%s ran %s after %s of group %s epoch %d was lost", r.Body, r.At.Sub(outage.From), id, r.Group, r.Epoch)
		}
		return
	}
	require.Fail(c.t, "a group served without a member that accepted its order", "%s in group %s epoch %d, for %s", id, r.Group, r.Epoch, r.Body)
}

// Guards against a group that serves while a member is missing or in another
// group, and against groups that are not repaired. Members are killed, restarted
// and paused in turn, and the leader of the domain log is killed during a repair.
func TestGroupsUnderFailure(t *testing.T) {
	t.Parallel()
	for name, fencing := range map[string]bool{"engines that reject old epochs": true, "engines that ignore epochs": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startGroups(t, fencing)
			stop := c.startLoad()
			defer stop()
			for _, step := range c.steps() {
				started := time.Now()
				step.do()
				c.waitGroupsComplete(step.name)
				t.Logf("%s: groups complete after %s", step.name, time.Since(started).Round(time.Millisecond))
			}
			stop()
			c.checkRuns()
		})
	}
}

type groupStep struct {
	name string
	do   func()
}

func (c *groupCluster) steps() []groupStep {
	var killed, secondKilled string
	return []groupStep{
		{"the loss of a member", func() { killed = c.groupMembers()[1]; c.killEngine(killed) }},
		{"a second loss right after the repair", func() { secondKilled = c.groupMembers()[0]; c.killEngine(secondKilled) }},
		{"the return of both as new incarnations", func() { c.startEngine(killed); c.startEngine(secondKilled) }},
		{"a pause beyond the bound", func() { c.pauseEngines(c.groupMembers()[1]) }},
		{"the loss of the leader during a repair", func() {
			killed = c.groupMembers()[2]
			c.killEngine(killed)
			leader := c.leader("domain-a")
			require.NoError(c.t, c.KillDaemon(leader))
			c.startEngine(killed)
			c.restart(leader)
		}},
		{"a pause of the fabric domain", func() { c.pauseEngines("e0", "e1", "e2", "e3", "e4") }},
	}
}

// pauseEngines pauses engines for longer than maxStaleDispatch and resumes them
// with their state unchanged.
func (c *groupCluster) pauseEngines(ids ...string) {
	for _, id := range ids {
		c.running[id].Pause()
	}
	time.Sleep(maxStaleDispatch + time.Second)
	for _, id := range ids {
		c.running[id].Resume()
	}
}
