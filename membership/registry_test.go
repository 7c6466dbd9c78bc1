package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/membership/wire"
)

// describeView returns the parts of a View that must be equal on all daemons.
func describeView(v *membership.View) []string {
	var list []string
	for _, u := range v.All() {
		list = append(list, fmt.Sprintf("%s/%d %s %v", u.ID, u.Incarnation, u.State, u.InForce))
	}
	return list
}

// Guards against views that stay different after batches were reordered,
// duplicated or lost, and against an old incarnation that replaces a newer one.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 3
		now := startTime
		var list []*membership.Registry
		var peers []membership.Peer
		for i := range daemons {
			id := fmt.Sprintf("d%d", i)
			peers = append(peers, membership.Peer{ID: id, FailureDomain: "a"})
			list = append(list, membership.New(membership.Config{
				ID: id, FailureDomain: "a", Incarnation: 7, AgeBound: time.Hour, Lease: time.Hour, ForgetAfter: time.Hour,
			}, now))
		}
		type message struct {
			from, to int
			data     []byte
		}
		var inTransit []message
		tick := func(i int) {
			for _, b := range list[i].Tick(now).Batches {
				data, err := wire.Encode(b.Batch)
				require.NoError(t, err)
				inTransit = append(inTransit, message{i, int(b.To[1] - '0'), data})
			}
		}
		deliver := func(m message) {
			b, err := wire.Decode(m.data)
			require.NoError(t, err)
			list[m.to].Merge(now, fmt.Sprintf("d%d", m.from), b)
		}
		for _, r := range list {
			r.SetPeers(now, peers)
		}
		newest := map[string]uint64{}
		states := []membership.State{membership.Ready, membership.Draining, membership.Ready, membership.Leaving}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
			id := fmt.Sprintf("u%d", rapid.IntRange(0, 3).Draw(t, "upstream"))
			incarnation := uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))
			sequence := uint64(rapid.IntRange(1, 30).Draw(t, "sequence"))
			// State and group depend on the sequence only, as with a real upstream.
			state := states[min(sequence/9, 3)]
			ref := membership.GroupRef{Group: fmt.Sprint("g", sequence%2), Epoch: sequence / 5}
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				list[i].Announce(now, membership.Announcement{ID: id, Incarnation: incarnation, Sequence: sequence, State: state, Services: []string{"s"}})
				newest[id] = max(newest[id], incarnation)
			case 1, 2:
				list[i].Heartbeat(now, membership.Heartbeat{ID: id, Incarnation: incarnation, Sequence: sequence, State: state, InForce: ref})
			case 3:
				tick(i)
			default:
				if len(inTransit) == 0 {
					continue
				}
				n := rapid.IntRange(0, len(inTransit)-1).Draw(t, "message")
				m := inTransit[n]
				if rapid.Bool().Draw(t, "remove") {
					inTransit = append(inTransit[:n:n], inTransit[n+1:]...)
				}
				if rapid.IntRange(0, 3).Draw(t, "fate") > 0 {
					deliver(m)
				}
			}
		}
		late := inTransit
		for range 40 {
			now = now.Add(100 * time.Millisecond)
			inTransit = nil
			for i := range list {
				tick(i)
			}
			for _, m := range inTransit {
				deliver(m)
			}
		}
		want := describeView(list[0].View())
		for _, r := range list[1:] {
			require.Equal(t, want, describeView(r.View()))
		}
		for id, incarnation := range newest {
			require.Equal(t, incarnation, list[0].View().Get(id).Incarnation)
		}
		for _, m := range late {
			deliver(m)
		}
		for _, r := range list {
			require.Equal(t, want, describeView(r.View()), "late batches changed a view")
		}
	})
}

// Guards against dispatch on expired reports under any delays, clock offsets and
// drift. The simulation knows the true time of each incarnation's last report.
func TestNeverDispatchableBeyondTheBound(t *testing.T) {
	const bound = 3*time.Second + 3*time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Int64().Draw(t, "seed"))
		clocks := func() simulatedClock {
			return simulatedClock{time.Duration(sim.rng.Int63n(int64(2*time.Hour))) - time.Hour, (sim.rng.Float64() - 0.5) * 0.001}
		}
		sim.addDaemons(4, nil, clocks)
		for i := range 4 {
			sim.addUpstream(fmt.Sprintf("u%d", i), clocks())
		}
		slow := time.Duration(rapid.IntRange(1, 6000).Draw(t, "slowest delay in ms")) * time.Millisecond
		constant := rapid.Bool().Draw(t, "constant delays")
		delays := map[string]time.Duration{}
		sim.delay = func(from, to string) time.Duration {
			key := from + ">" + to
			if d, ok := delays[key]; ok && constant {
				return d
			}
			d := time.Millisecond
			if sim.rng.Intn(3) == 0 {
				d = time.Duration(sim.rng.Int63n(int64(slow)))
			}
			if sim.rng.Intn(20) == 0 && !constant {
				d = -1
			}
			delays[key] = d
			return d
		}
		dispatchable := 0
		var check func()
		check = func() {
			for _, d := range sim.daemons {
				for _, u := range d.registry.View().All() {
					if !d.registry.View().Dispatchable(u, d.at(sim.now)) {
						continue
					}
					dispatchable++
					if age := sim.now - sim.upstreams[u.ID].reportedAt[u.Incarnation]; age > bound {
						t.Fatalf("%s would dispatch to %s/%d, whose last report is %v old", d.id, u.ID, u.Incarnation, age)
					}
				}
			}
			sim.schedule(50*time.Millisecond, check)
		}
		check()
		for _, u := range sim.upstreams {
			var fault func()
			fault = func() {
				switch {
				case u.unresponsive:
					if sim.rng.Intn(2) == 0 {
						sim.restart(u)
					}
					u.unresponsive = false
				default:
					u.unresponsive = sim.rng.Intn(2) == 0
				}
				sim.schedule(time.Duration(sim.rng.Int63n(int64(8*time.Second))), fault)
			}
			sim.schedule(5*time.Second, fault)
		}
		sim.run(18 * time.Second)
		if slow < 200*time.Millisecond {
			require.Positive(t, dispatchable)
		}
	})
}

// Guards against dispatch to an upstream more than 2 s after it began to leave,
// while one link or all links to one daemon lose every message.
func TestLeavingIsKnownWithinTwoSeconds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Int64().Draw(t, "seed"))
		sim.addDaemons(6, nil, func() simulatedClock { return simulatedClock{} })
		for i := range 6 {
			sim.addUpstream(fmt.Sprintf("u%d", i), simulatedClock{})
		}
		sim.run(8 * time.Second)
		for _, d := range sim.daemons {
			for _, u := range d.registry.View().All() {
				require.True(t, d.registry.View().Dispatchable(u, d.at(sim.now)), "%s at %s", u.ID, d.id)
			}
			require.Equal(t, 6, d.registry.View().Len())
		}
		from := fmt.Sprintf("d%02d", rapid.IntRange(0, 5).Draw(t, "from"))
		to := fmt.Sprintf("d%02d", rapid.IntRange(0, 5).Draw(t, "to"))
		cut := rapid.IntRange(0, 2).Draw(t, "cut")
		sim.delay = func(a, b string) time.Duration {
			one := cut == 1 && a == from && b == to
			all := cut == 2 && b == to && a[0] == 'd'
			if one || all {
				return -1
			}
			return time.Millisecond
		}
		sim.run(sim.now + time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms after the cut"))*time.Millisecond)
		u := sim.upstreams["u3"]
		u.state = membership.Leaving
		if rapid.Bool().Draw(t, "announces") {
			sim.announce(u)
		}
		sim.run(sim.now + 2*time.Second)
		for _, d := range sim.daemons {
			v := d.registry.View()
			if got := v.Get("u3"); got != nil {
				require.False(t, v.Dispatchable(got, d.at(sim.now)), "%s still dispatches", d.id)
			}
		}
	})
}

// Guards against a daemon that stops serving when all other daemons are lost.
// The upstreams respond to its probes and then register with it.
func TestLossOfAllOtherDaemonsKeepsServing(t *testing.T) {
	sim := newSimulation(3)
	sim.addDaemons(7, nil, func() simulatedClock { return simulatedClock{} })
	for i := range 65 {
		sim.addUpstream(fmt.Sprintf("u%02d", i), simulatedClock{})
	}
	sim.run(6 * time.Second)
	sim.delay = func(from, to string) time.Duration {
		if from != "d00" && from[0] == 'd' || to != "d00" && to[0] == 'd' {
			return -1
		}
		return time.Millisecond
	}
	d := sim.daemons[0]
	for range 200 {
		sim.run(sim.now + 50*time.Millisecond)
		for _, u := range d.registry.View().Service("rug-model") {
			require.True(t, d.registry.View().Dispatchable(u, d.at(sim.now)), "%s at %v", u.ID, sim.now)
		}
	}
	require.Equal(t, 65, d.registry.View().Len())
}

// Guards against upstreams without a registrar after a daemon has stopped, and
// against leases that stay with a stopping daemon.
func TestRegistrarsFollowLiveDaemons(t *testing.T) {
	sim := newSimulation(5)
	sim.addDaemons(5, nil, func() simulatedClock { return simulatedClock{} })
	for i := range 20 {
		sim.addUpstream(fmt.Sprintf("u%02d", i), simulatedClock{})
	}
	sim.run(5 * time.Second)
	leases := 0
	for _, d := range sim.daemons {
		leases += d.registry.HeldLeases()
	}
	require.Equal(t, 40, leases)
	sim.daemons[1].registry.Stop(sim.daemons[1].at(sim.now))
	sim.run(sim.now + 8*time.Second)
	require.Zero(t, sim.daemons[1].registry.HeldLeases())
	require.Equal(t, 20, sim.daemons[1].registry.View().Len())
}

// Guards against changes of a published View, and against a wrong order of a
// service's upstreams.
func TestViewIsImmutable(t *testing.T) {
	r := membership.New(membership.Config{ID: "d"}, startTime)
	add := func(id string, inc uint64, s membership.State) {
		r.Announce(startTime, membership.Announcement{ID: id, Incarnation: inc, State: s, Services: []string{"x"}})
	}
	add("b", 1, membership.Ready)
	add("a", 1, membership.Ready)
	first := r.View()
	require.Same(t, first, r.View())
	add("c", 1, membership.Ready)
	add("a", 2, membership.Ready)
	add("b", 1, membership.Leaving)
	add("a", 1, membership.Ready)
	require.Equal(t, []string{"a/1 ready { 0 0}", "b/1 ready { 0 0}"}, describeView(first))
	require.Equal(t, []string{"a/2 ready { 0 0}", "b/1 leaving { 0 0}", "c/1 ready { 0 0}"}, describeView(r.View()))
	require.Len(t, r.View().Service("x"), 3)
	add("b", 1, membership.Ready)
	require.Equal(t, membership.Leaving, r.View().Get("b").State, "leaving is final for an incarnation")
}

// Guards against daemons of other failure domains that hold leases or do not
// receive the set of upstreams, and against batches to many such daemons at the
// short period.
func TestOtherFailureDomains(t *testing.T) {
	sim := newSimulation(11)
	sim.domain = func(i int) string {
		if i < 2 {
			return "a"
		}
		return "b"
	}
	sim.addDaemons(32, func(c *membership.Config) { c.RemoteBytesPerSecond = 500 }, func() simulatedClock { return simulatedClock{} })
	sim.daemons = sim.daemons[:2] // upstreams announce themselves in their failure domain
	for i := range 10 {
		sim.addUpstream(fmt.Sprintf("u%d", i), simulatedClock{})
	}
	sim.run(10 * time.Second)
	remote := sim.byID["d20"]
	require.Equal(t, 10, remote.registry.View().Len())
	require.Zero(t, remote.registry.HeldLeases())
	sim.batches = [2]int{}
	sim.run(sim.now + 12*time.Second)
	require.Less(t, sim.batches[0], 12*32/2, "30 remote daemons get a batch every 3 s")
	sim.upstreams["u1"].state = membership.Leaving
	sim.run(sim.now + 2*time.Second)
	require.Equal(t, membership.Leaving, remote.registry.View().Get("u1").State)
}
