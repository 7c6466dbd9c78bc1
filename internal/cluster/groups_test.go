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
	// lossBound is the design's bound on dispatches to a group that has lost a
	// member: the age bound of 3 s and a clock drift of 0.1%.
	lossBound = 3*time.Second + 3*time.Millisecond
	// loadTokens keeps requests short, so that many are sent in each state.
	loadTokens = 2
)

// groupCluster runs replica groups in failure domain a under load.
type groupCluster struct {
	*testCluster
	fencing bool
	// live holds the engines that run, all holds those before them as well.
	live map[string]*fake.Engine
	all  []*fake.Engine

	mu   sync.Mutex
	sent map[string]time.Time
	bad  []string
}

func startGroups(t *testing.T, fencing bool) *groupCluster {
	checks := "no"
	if fencing {
		checks = "yes"
	}
	tree := strings.Replace(treeFor(groupSize), `"groupSize"`, fmt.Sprintf(`"checksFencing": %q, "groupSize"`, checks), 1)
	c := &groupCluster{
		testCluster: startLayout(t, Today(tree)), fencing: fencing, live: map[string]*fake.Engine{}, sent: map[string]time.Time{},
	}
	for i := range 5 {
		c.run(fmt.Sprint("e", i))
	}
	c.whole("the first groups")
	return c
}

// run starts an engine, or the next incarnation of one that was killed.
func (c *groupCluster) run(id string) {
	c.t.Helper()
	cfg := fake.EngineConfig{TokenDelay: time.Millisecond, IgnoreFencing: !c.fencing}
	cfg.ID, cfg.FailureDomain, cfg.FabricDomain, cfg.Accelerators = id, "a", "a-f", 2
	cfg.Services = []string{"rug-model"}
	cfg.Models = []membership.Model{{Name: "rug-model"}}
	cfg.Features.Fencing = c.fencing
	e, err := c.AddEngine(cfg)
	require.NoError(c.t, err)
	c.live[id] = e
	c.all = append(c.all, e)
}

func (c *groupCluster) kill(id string) {
	c.live[id].Kill()
	delete(c.live, id)
}

// members returns the running members of the groups, the first group's first.
func (c *groupCluster) members() []string {
	var ids []string
	for id, e := range c.live {
		if e.InForce().Group != "" {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		x, y := c.live[a].InForce(), c.live[b].InForce()
		if d := strings.Compare(x.Group, y.Group); d != 0 {
			return d
		}
		return x.Rank - y.Rank
	})
	return ids
}

// whole waits until the running engines form as many whole groups as they can,
// and these serve. An instance that is left over may still have its last group
// in force.
func (c *groupCluster) whole(what string) {
	c.t.Helper()
	c.eventually("whole groups after "+what, func() bool {
		formed := map[string]int{}
		for _, e := range c.live {
			if g := e.InForce(); g.Group != "" {
				formed[fmt.Sprint(g.Group, g.Epoch)]++
			}
		}
		complete := 0
		for _, n := range formed {
			complete += n / groupSize
		}
		return complete == len(c.live)/groupSize
	})
	c.served("a2")
	c.served("c2")
}

// load sends requests through entries of all failure domains until the
// returned function is called.
func (c *groupCluster) load() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for _, entry := range []string{"a1", "a2", "b1", "c1"} {
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				prompt := fmt.Sprintf("%s-%d", entry, n)
				c.mu.Lock()
				c.sent[prompt] = time.Now()
				c.mu.Unlock()
				try, done := context.WithTimeout(ctx, 2*time.Second)
				a := c.paying.Stream(try, c.CallerURL(entry), "rug-model", prompt, loadTokens)
				done()
				if a.Whole && a.Content != fake.Answer(prompt, loadTokens) {
					c.mu.Lock()
					c.bad = append(c.bad, prompt)
					c.mu.Unlock()
				}
				time.Sleep(pollPause)
			}
		})
	}
	return func() { cancel(); all.Wait() }
}

// check requires that no request was started for a group that missed a member:
// that had not joined, or that had left or been lost for longer than the bound
// when the caller sent the request.
func (c *groupCluster) check() {
	c.t.Helper()
	require.Empty(c.t, c.bad, "answers that belong to other requests")
	checked := 0
	for _, e := range c.all {
		for _, r := range e.Runs() {
			sent, ok := c.sent[r.Body]
			if !ok {
				continue
			}
			checked++
			members := c.membersOf(r)
			require.Len(c.t, members, groupSize, "%s ran %s for group %s epoch %d", e.Announcement().ID, r.Body, r.Group, r.Epoch)
			for _, id := range members {
				c.checkMember(id, r, sent)
			}
		}
	}
	c.t.Logf("%d runs checked", checked)
	require.Greater(c.t, checked, 100)
}

// membersOf returns the members that were ordered into the group of a run.
func (c *groupCluster) membersOf(r fake.Run) []string {
	for _, e := range c.all {
		for _, a := range e.Assignments() {
			if a.Group == r.Group && a.Epoch == r.Epoch {
				return a.Members
			}
		}
	}
	return nil
}

func (c *groupCluster) checkMember(id string, r fake.Run, sent time.Time) {
	c.t.Helper()
	for _, e := range c.all {
		if e.Announcement().ID != id {
			continue
		}
		assigned := e.Assignments()
		i := slices.IndexFunc(assigned, func(a fake.Assignment) bool { return a.Group == r.Group && a.Epoch == r.Epoch })
		if i < 0 {
			continue
		}
		require.False(c.t, r.At.Before(assigned[i].At), "%s ran before %s had joined group %s epoch %d", r.Body, id, r.Group, r.Epoch)
		for _, next := range assigned[i+1:] {
			if next.Group != r.Group || next.Epoch != r.Epoch {
				require.False(c.t, sent.After(next.At.Add(lossBound)), "%s ran %s after %s had left group %s epoch %d",
					r.Body, r.At.Sub(next.At), id, r.Group, r.Epoch)
			}
		}
		for _, away := range e.Absences() {
			late := sent.After(away.From.Add(lossBound)) && (away.Until.IsZero() || r.At.Before(away.Until))
			require.False(c.t, late, "%s ran %s after %s of group %s epoch %d was lost", r.Body, r.At.Sub(away.From), id, r.Group, r.Epoch)
		}
		return
	}
	require.Fail(c.t, "a group served without a member that obeyed its order", "%s in group %s epoch %d, for %s", id, r.Group, r.Epoch, r.Body)
}

// Guards against a group that serves without a member, or with one that is in
// another group, and against groups that are not repaired: members and the
// leader of the domain log are lost, pause and return in turn.
func TestGroupsUnderFailure(t *testing.T) {
	t.Parallel()
	for name, fencing := range map[string]bool{"engines that reject old epochs": true, "engines that ignore epochs": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startGroups(t, fencing)
			stop := c.load()
			defer stop()
			for _, step := range c.steps() {
				started := time.Now()
				step.do()
				c.whole(step.name)
				t.Logf("%s: whole after %s", step.name, time.Since(started).Round(time.Millisecond))
			}
			stop()
			c.check()
		})
	}
}

type groupStep struct {
	name string
	do   func()
}

func (c *groupCluster) steps() []groupStep {
	var lost, second string
	return []groupStep{
		{"the loss of a member", func() { lost = c.members()[1]; c.kill(lost) }},
		{"a second loss right after the repair", func() { second = c.members()[0]; c.kill(second) }},
		{"the return of both as new incarnations", func() { c.run(lost); c.run(second) }},
		{"a pause beyond the bound", func() { c.pause(c.members()[1]) }},
		{"the loss of the leader during a repair", func() {
			lost = c.members()[2]
			c.kill(lost)
			leader := c.leader("domain-a")
			require.NoError(c.t, c.KillDaemon(leader))
			c.run(lost)
			c.restart(leader)
		}},
		{"a pause of the fabric domain", func() { c.pause("e0", "e1", "e2", "e3", "e4") }},
	}
}

// pause stops engines for longer than the bound and lets them go on as if
// nothing had happened.
func (c *groupCluster) pause(ids ...string) {
	for _, id := range ids {
		c.live[id].Pause()
	}
	time.Sleep(lossBound + time.Second)
	for _, id := range ids {
		c.live[id].Resume()
	}
}
