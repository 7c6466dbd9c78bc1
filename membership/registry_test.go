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

// describe returns what must be equal on every daemon.
func describe(v *membership.View) []string {
	var list []string
	for _, u := range v.All() {
		list = append(list, fmt.Sprintf("%s/%d %s %v", u.ID, u.Incarnation, u.State, u.InForce))
	}
	return list
}

// Guards against views that differ for good after batches were reordered,
// duplicated or lost, and against an incarnation that comes back.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 3
		now := origin
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
		var wireList []message
		tick := func(i int) {
			for _, b := range list[i].Tick(now).Batches {
				data, err := wire.Encode(b.Batch)
				require.NoError(t, err)
				wireList = append(wireList, message{i, int(b.To[1] - '0'), data})
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
			// The content follows from the sequence, as for one upstream.
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
				if len(wireList) == 0 {
					continue
				}
				n := rapid.IntRange(0, len(wireList)-1).Draw(t, "message")
				m := wireList[n]
				if rapid.Bool().Draw(t, "remove") {
					wireList = append(wireList[:n:n], wireList[n+1:]...)
				}
				if rapid.IntRange(0, 3).Draw(t, "fate") > 0 {
					deliver(m)
				}
			}
		}
		late := wireList
		for range 40 {
			now = now.Add(100 * time.Millisecond)
			wireList = nil
			for i := range list {
				tick(i)
			}
			for _, m := range wireList {
				deliver(m)
			}
		}
		want := describe(list[0].View())
		for _, r := range list[1:] {
			require.Equal(t, want, describe(r.View()))
		}
		for id, incarnation := range newest {
			require.Equal(t, incarnation, list[0].View().Get(id).Incarnation)
		}
		for _, m := range late {
			deliver(m)
		}
		for _, r := range list {
			require.Equal(t, want, describe(r.View()), "late batches changed a view")
		}
	})
}

// Guards against dispatch on old information under any delays, clock offsets
// and drift: the oracle knows when each incarnation last reported.
func TestNeverDispatchableBeyondTheBound(t *testing.T) {
	const bound = 3*time.Second + 3*time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Int64().Draw(t, "seed"))
		clocks := func() clock {
			return clock{time.Duration(n.rng.Int63n(int64(2*time.Hour))) - time.Hour, (n.rng.Float64() - 0.5) * 0.001}
		}
		n.addDaemons(4, nil, clocks)
		for i := range 4 {
			n.addUpstream(fmt.Sprintf("u%d", i), clocks())
		}
		slow := time.Duration(rapid.IntRange(1, 6000).Draw(t, "slowest delay in ms")) * time.Millisecond
		constant := rapid.Bool().Draw(t, "constant delays")
		delays := map[string]time.Duration{}
		n.delay = func(from, to string) time.Duration {
			key := from + ">" + to
			if d, ok := delays[key]; ok && constant {
				return d
			}
			d := time.Millisecond
			if n.rng.Intn(3) == 0 {
				d = time.Duration(n.rng.Int63n(int64(slow)))
			}
			if n.rng.Intn(20) == 0 && !constant {
				d = -1
			}
			delays[key] = d
			return d
		}
		dispatchable := 0
		var check func()
		check = func() {
			for _, d := range n.daemons {
				for _, u := range d.registry.View().All() {
					if !d.registry.View().Dispatchable(u, d.at(n.now)) {
						continue
					}
					dispatchable++
					if age := n.now - n.upstreams[u.ID].reported[u.Incarnation]; age > bound {
						t.Fatalf("%s would dispatch to %s/%d, whose last report is %v old", d.id, u.ID, u.Incarnation, age)
					}
				}
			}
			n.after(50*time.Millisecond, check)
		}
		check()
		for _, u := range n.upstreams {
			var fault func()
			fault = func() {
				switch {
				case u.down:
					if n.rng.Intn(2) == 0 {
						n.restart(u)
					}
					u.down = false
				default:
					u.down = n.rng.Intn(2) == 0
				}
				n.after(time.Duration(n.rng.Int63n(int64(8*time.Second))), fault)
			}
			n.after(5*time.Second, fault)
		}
		n.run(18 * time.Second)
		if slow < 200*time.Millisecond {
			require.Positive(t, dispatchable)
		}
	})
}

// Guards against work sent to a leaving upstream later than 2 s, with a link
// between daemons cut in one direction, or every link towards one daemon.
func TestLeavingIsKnownWithinTwoSeconds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Int64().Draw(t, "seed"))
		n.addDaemons(6, nil, func() clock { return clock{} })
		for i := range 6 {
			n.addUpstream(fmt.Sprintf("u%d", i), clock{})
		}
		n.run(8 * time.Second)
		for _, d := range n.daemons {
			for _, u := range d.registry.View().All() {
				require.True(t, d.registry.View().Dispatchable(u, d.at(n.now)), "%s at %s", u.ID, d.id)
			}
			require.Equal(t, 6, d.registry.View().Len())
		}
		from := fmt.Sprintf("d%02d", rapid.IntRange(0, 5).Draw(t, "from"))
		to := fmt.Sprintf("d%02d", rapid.IntRange(0, 5).Draw(t, "to"))
		kind := rapid.IntRange(0, 2).Draw(t, "cut")
		n.delay = func(a, b string) time.Duration {
			one := kind == 1 && a == from && b == to
			all := kind == 2 && b == to && a[0] == 'd'
			if one || all {
				return -1
			}
			return time.Millisecond
		}
		n.run(n.now + time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms after the cut"))*time.Millisecond)
		u := n.upstreams["u3"]
		u.state = membership.Leaving
		if rapid.Bool().Draw(t, "announces") {
			n.announce(u)
		}
		n.run(n.now + 2*time.Second)
		for _, d := range n.daemons {
			v := d.registry.View()
			if got := v.Get("u3"); got != nil {
				require.False(t, v.Dispatchable(got, d.at(n.now)), "%s still dispatches", d.id)
			}
		}
	})
}

// Guards against a daemon that stops serving because it alone is left: the
// upstreams answer its probes and then choose it as their registrar.
func TestLossOfAllOtherDaemonsKeepsServing(t *testing.T) {
	n := newNetwork(3)
	n.addDaemons(7, nil, func() clock { return clock{} })
	for i := range 65 {
		n.addUpstream(fmt.Sprintf("u%02d", i), clock{})
	}
	n.run(6 * time.Second)
	n.delay = func(from, to string) time.Duration {
		if from != "d00" && from[0] == 'd' || to != "d00" && to[0] == 'd' {
			return -1
		}
		return time.Millisecond
	}
	d := n.daemons[0]
	for range 200 {
		n.run(n.now + 50*time.Millisecond)
		for _, u := range d.registry.View().Service("rug-model") {
			require.True(t, d.registry.View().Dispatchable(u, d.at(n.now)), "%s at %v", u.ID, n.now)
		}
	}
	require.Equal(t, 65, d.registry.View().Len())
}

// Guards against upstreams that find no registrar after a daemon has gone, and
// leases that stay with a daemon that stops.
func TestRegistrarsFollowLiveDaemons(t *testing.T) {
	n := newNetwork(5)
	n.addDaemons(5, nil, func() clock { return clock{} })
	for i := range 20 {
		n.addUpstream(fmt.Sprintf("u%02d", i), clock{})
	}
	n.run(5 * time.Second)
	held := 0
	for _, d := range n.daemons {
		held += d.registry.Held()
	}
	require.Equal(t, 40, held)
	n.daemons[1].registry.Stop(n.daemons[1].at(n.now))
	n.run(n.now + 8*time.Second)
	require.Zero(t, n.daemons[1].registry.Held())
	require.Equal(t, 20, n.daemons[1].registry.View().Len())
}

// Guards against a published View that changes, and against the order of a
// service's upstreams going wrong.
func TestViewIsImmutable(t *testing.T) {
	r := membership.New(membership.Config{ID: "d"}, origin)
	add := func(id string, inc uint64, s membership.State) {
		r.Announce(origin, membership.Announcement{ID: id, Incarnation: inc, State: s, Services: []string{"x"}})
	}
	add("b", 1, membership.Ready)
	add("a", 1, membership.Ready)
	first := r.View()
	require.Same(t, first, r.View())
	add("c", 1, membership.Ready)
	add("a", 2, membership.Ready)
	add("b", 1, membership.Leaving)
	add("a", 1, membership.Ready)
	require.Equal(t, []string{"a/1 ready { 0 0}", "b/1 ready { 0 0}"}, describe(first))
	require.Equal(t, []string{"a/2 ready { 0 0}", "b/1 leaving { 0 0}", "c/1 ready { 0 0}"}, describe(r.View()))
	require.Len(t, r.View().Service("x"), 3)
	add("b", 1, membership.Ready)
	require.Equal(t, membership.Leaving, r.View().Get("b").State, "leaving is final for an incarnation")
}

// Guards against daemons of other failure domains that hold leases or never
// learn of upstreams, and against batches to them at the short period when
// there are many.
func TestOtherFailureDomains(t *testing.T) {
	n := newNetwork(11)
	n.domain = func(i int) string {
		if i < 2 {
			return "a"
		}
		return "b"
	}
	n.addDaemons(32, func(c *membership.Config) { c.RemoteBytesPerSecond = 500 }, func() clock { return clock{} })
	n.daemons = n.daemons[:2] // upstreams announce themselves in their failure domain
	for i := range 10 {
		n.addUpstream(fmt.Sprintf("u%d", i), clock{})
	}
	n.run(10 * time.Second)
	far := n.byID["d20"]
	require.Equal(t, 10, far.registry.View().Len())
	require.Zero(t, far.registry.Held())
	n.batches = [2]int{}
	n.run(n.now + 12*time.Second)
	require.Less(t, n.batches[0], 12*32/2, "30 daemons elsewhere get a batch every 3 s")
	n.upstreams["u1"].state = membership.Leaving
	n.run(n.now + 2*time.Second)
	require.Equal(t, membership.Leaving, far.registry.View().Get("u1").State)
}
