package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/membership/wire"
)

// origin is the true time at which every simulation starts.
var origin = time.Unix(1_700_000_000, 0)

type event struct {
	at   time.Duration
	n    int
	call func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// network is a set of daemons and upstreams with clocks of their own, and
// links with delays and cuts. Batches cross it in their encoded form.
type network struct {
	now       time.Duration
	queue     events
	count     int
	rng       *rand.Rand
	daemons   []*daemon
	byID      map[string]*daemon
	upstreams map[string]*upstream
	// delay returns the delay of a message, negative for a lost one.
	delay func(from, to string) time.Duration
	// domain returns the failure domain of a daemon.
	domain func(i int) string
	// bytes counts the encoded batches that daemon 0 sent and received.
	bytes   [2]int
	batches [2]int
}

type clock struct {
	offset time.Duration
	drift  float64
}

func (c clock) at(t time.Duration) time.Time {
	return origin.Add(c.offset + t + time.Duration(float64(t)*c.drift))
}

type daemon struct {
	clock
	id       string
	registry *membership.Registry
	next     time.Duration // time of the next planned tick
}

// upstream sends heartbeats to its registrars.
type upstream struct {
	clock
	announcement membership.Announcement
	sequence     uint64
	state        membership.State
	down         bool
	registrars   []membership.Registrar
	echoes       map[string]echo
	// reported is the true time of the last report of each incarnation.
	reported map[uint64]time.Duration
	answered time.Duration
	load     func() (running, queued int)
}

type echo struct {
	mark string
	at   time.Time
}

func newNetwork(seed int64) *network {
	return &network{
		rng: rand.New(rand.NewSource(seed)), byID: map[string]*daemon{}, upstreams: map[string]*upstream{},
		domain: func(int) string { return "a" },
		delay:  func(_, _ string) time.Duration { return time.Millisecond },
	}
}

func (n *network) after(d time.Duration, call func()) {
	n.count++
	heap.Push(&n.queue, event{n.now + d, n.count, call})
}

func (n *network) run(until time.Duration) {
	for len(n.queue) > 0 && n.queue[0].at <= until {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.call()
	}
	n.now = until
}

func (n *network) send(from, to string, call func()) {
	if d := n.delay(from, to); d >= 0 {
		n.after(d, call)
	}
}

func (n *network) addDaemons(count int, change func(*membership.Config), clocks func() clock) {
	var peers []membership.Peer
	for i := range count {
		d := &daemon{clock: clocks(), id: fmt.Sprintf("d%02d", i)}
		cfg := membership.Config{ID: d.id, Address: "10.1.0.1:8080", FailureDomain: n.domain(i), Incarnation: 1_700_000_000_000}
		if change != nil {
			change(&cfg)
		}
		d.registry = membership.New(cfg, d.at(n.now))
		n.daemons = append(n.daemons, d)
		n.byID[d.id] = d
		peers = append(peers, membership.Peer{ID: d.id, Address: "10.1.0.1:8080", FailureDomain: n.domain(i)})
	}
	for i, d := range n.daemons {
		d.registry.SetPeers(d.at(n.now), peers)
		n.after(time.Duration(i)*time.Millisecond, func() { n.tick(d) })
	}
}

// tick runs one registry, carries out its output and plans the next tick.
func (n *network) tick(d *daemon) {
	out := d.registry.Tick(d.at(n.now))
	for _, b := range out.Batches {
		data, err := wire.Encode(b.Batch)
		if err != nil {
			panic(err)
		}
		n.meter(d, 0, len(data))
		to := n.byID[b.To]
		n.send(d.id, to.id, func() {
			n.meter(to, 1, len(data))
			batch, err := wire.Decode(data)
			if err != nil {
				panic(err)
			}
			to.registry.Merge(to.at(n.now), d.id, batch)
			n.tick(to)
		})
	}
	for _, p := range out.Probes {
		n.probe(d, n.upstreams[p.ID])
	}
	wait := max(d.registry.NextTick().Sub(d.at(n.now)), time.Millisecond)
	if d.next <= n.now || n.now+wait < d.next-time.Millisecond {
		d.next = n.now + wait
		n.after(wait, func() { n.tick(d) })
	}
}

func (n *network) meter(d *daemon, direction, size int) {
	if d == n.daemons[0] {
		n.bytes[direction] += size
		n.batches[direction]++
	}
}

func (n *network) probe(d *daemon, u *upstream) {
	sent := d.at(n.now)
	id := u.announcement.ID
	n.send(d.id, id, func() {
		if u.down {
			return
		}
		u.sequence++
		a, h := u.announcement, n.heartbeat(u, d.id)
		a.State = u.state
		n.send(id, d.id, func() {
			d.registry.Probed(d.at(n.now), sent, a, h)
			n.tick(d)
		})
	})
}

func (n *network) addUpstream(id string, c clock) *upstream {
	u := &upstream{clock: c, state: membership.Ready, echoes: map[string]echo{}, reported: map[uint64]time.Duration{}}
	u.announcement = membership.Announcement{
		ID: id, Incarnation: 1, Address: "10.0.0.1:9000", FailureDomain: "a", FabricDomain: "a-rack-1",
		Kind: membership.ModelEngine, Services: []string{"rug-model"}, Role: membership.RoleBoth,
		Models:   []membership.Model{{Name: "rug-large", Version: "3"}},
		Features: membership.Features{Echo: true, Fencing: true}, Accelerators: 2, MaxConcurrent: 64, State: membership.Ready,
	}
	n.upstreams[id] = u
	n.after(time.Duration(n.rng.Int63n(int64(time.Second))), func() { n.beat(u) })
	return u
}

func (n *network) restart(u *upstream) {
	u.announcement.Incarnation++
	u.sequence, u.registrars, u.echoes, u.state, u.down = 0, nil, map[string]echo{}, membership.Ready, false
	n.announce(u)
}

func (n *network) announce(u *upstream) {
	u.sequence++
	u.reported[u.announcement.Incarnation] = n.now
	a := u.announcement
	a.State, a.Sequence = u.state, u.sequence
	to := n.daemons[n.rng.Intn(len(n.daemons))]
	n.send(a.ID, to.id, func() {
		n.answer(u, to, a.Incarnation, to.registry.Announce(to.at(n.now), a))
	})
}

func (n *network) beat(u *upstream) {
	n.after(time.Second, func() { n.beat(u) })
	if u.down {
		return
	}
	if len(u.registrars) == 0 || n.now-u.answered > 2500*time.Millisecond {
		n.announce(u)
		return
	}
	u.sequence++
	for _, r := range u.registrars {
		h, to := n.heartbeat(u, r.ID), n.byID[r.ID]
		n.send(h.ID, r.ID, func() {
			n.answer(u, to, h.Incarnation, to.registry.Heartbeat(to.at(n.now), h))
		})
	}
}

func (n *network) heartbeat(u *upstream, to string) membership.Heartbeat {
	u.reported[u.announcement.Incarnation] = n.now
	h := membership.Heartbeat{ID: u.announcement.ID, Incarnation: u.announcement.Incarnation, Sequence: u.sequence, State: u.state}
	if e, ok := u.echoes[to]; ok {
		h.Echo, h.EchoAgeMillis = e.mark, u.at(n.now).Sub(e.at).Milliseconds()
	}
	if u.load != nil {
		h.Running, h.Queued = u.load()
		h.KVUse, h.TokensPerS = float64(h.Running)/64, float64(h.Running)*40
	}
	return h
}

func (n *network) answer(u *upstream, from *daemon, incarnation uint64, l membership.Lease) {
	n.tick(from)
	n.send(from.id, u.announcement.ID, func() {
		if u.down || u.announcement.Incarnation != incarnation {
			return
		}
		u.echoes[from.id] = echo{l.Echo, u.at(n.now)}
		u.registrars, u.answered = l.Registrars, n.now
		if l.Announce {
			u.registrars = nil
		}
	})
}
