package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/membership/wire"
)

// startTime is the true time at which every simulation starts.
var startTime = time.Unix(1_700_000_000, 0)

type scheduledCall struct {
	at    time.Duration
	order int
	call  func()
}

// callQueue is a heap of calls by time and, at equal times, by order.
type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation runs daemons and upstreams with individual clocks, connected by a
// network that delays and loses messages. Batches are transmitted encoded.
type simulation struct {
	now            time.Duration // true time since startTime
	queue          callQueue
	scheduledCount int
	rng            *rand.Rand
	daemons        []*simulatedDaemon
	byID           map[string]*simulatedDaemon
	upstreams      map[string]*simulatedUpstream
	// delay returns the delay of a message, or a negative value if it is lost.
	delay func(from, to string) time.Duration
	// domain returns the failure domain of a daemon.
	domain func(i int) string
	// bytes and batches count the encoded batches that daemon 0 sent (index 0) and
	// received (index 1).
	bytes   [2]int
	batches [2]int
}

// simulatedClock deviates from the true time by a constant offset and a drift.
type simulatedClock struct {
	offset time.Duration
	drift  float64
}

func (c simulatedClock) at(t time.Duration) time.Time {
	return startTime.Add(c.offset + t + time.Duration(float64(t)*c.drift))
}

type simulatedDaemon struct {
	simulatedClock
	id         string
	registry   *membership.Registry
	nextTickAt time.Duration // time of the next planned tick
}

// simulatedUpstream announces itself, sends heartbeats to its registrars and
// responds to probes.
type simulatedUpstream struct {
	simulatedClock
	announcement membership.Announcement
	sequence     uint64
	state        membership.State
	unresponsive bool
	registrars   []membership.Registrar
	echoes       map[string]echo
	// reportedAt is the true time of the last report of each incarnation.
	reportedAt  map[uint64]time.Duration
	lastLeaseAt time.Duration
	load        func() (running, queued int)
}

type echo struct {
	value string
	at    time.Time
}

func newSimulation(seed int64) *simulation {
	return &simulation{
		rng: rand.New(rand.NewSource(seed)), byID: map[string]*simulatedDaemon{}, upstreams: map[string]*simulatedUpstream{},
		domain: func(int) string { return "a" },
		delay:  func(_, _ string) time.Duration { return time.Millisecond },
	}
}

func (sim *simulation) schedule(d time.Duration, call func()) {
	sim.scheduledCount++
	heap.Push(&sim.queue, scheduledCall{sim.now + d, sim.scheduledCount, call})
}

func (sim *simulation) run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(scheduledCall)
		sim.now = e.at
		e.call()
	}
	sim.now = until
}

func (sim *simulation) send(from, to string, call func()) {
	if d := sim.delay(from, to); d >= 0 {
		sim.schedule(d, call)
	}
}

func (sim *simulation) addDaemons(count int, change func(*membership.Config), clocks func() simulatedClock) {
	var peers []membership.Peer
	for i := range count {
		d := &simulatedDaemon{simulatedClock: clocks(), id: fmt.Sprintf("d%02d", i)}
		cfg := membership.Config{ID: d.id, Address: "10.1.0.1:8080", FailureDomain: sim.domain(i), Incarnation: 1_700_000_000_000}
		if change != nil {
			change(&cfg)
		}
		d.registry = membership.New(cfg, d.at(sim.now))
		sim.daemons = append(sim.daemons, d)
		sim.byID[d.id] = d
		peers = append(peers, membership.Peer{ID: d.id, Address: "10.1.0.1:8080", FailureDomain: sim.domain(i)})
	}
	for i, d := range sim.daemons {
		d.registry.SetPeers(d.at(sim.now), peers)
		sim.schedule(time.Duration(i)*time.Millisecond, func() { sim.tick(d) })
	}
}

// tick runs one registry, sends its output and schedules the next tick.
func (sim *simulation) tick(d *simulatedDaemon) {
	out := d.registry.Tick(d.at(sim.now))
	for _, b := range out.Batches {
		data, err := wire.Encode(b.Batch)
		if err != nil {
			panic(err)
		}
		sim.countTraffic(d, 0, len(data))
		to := sim.byID[b.To]
		sim.send(d.id, to.id, func() {
			sim.countTraffic(to, 1, len(data))
			batch, err := wire.Decode(data)
			if err != nil {
				panic(err)
			}
			to.registry.Merge(to.at(sim.now), d.id, batch)
			sim.tick(to)
		})
	}
	for _, p := range out.Probes {
		sim.probe(d, sim.upstreams[p.ID])
	}
	wait := max(d.registry.NextTick().Sub(d.at(sim.now)), time.Millisecond)
	if d.nextTickAt <= sim.now || sim.now+wait < d.nextTickAt-time.Millisecond {
		d.nextTickAt = sim.now + wait
		sim.schedule(wait, func() { sim.tick(d) })
	}
}

func (sim *simulation) countTraffic(d *simulatedDaemon, direction, size int) {
	if d == sim.daemons[0] {
		sim.bytes[direction] += size
		sim.batches[direction]++
	}
}

func (sim *simulation) probe(d *simulatedDaemon, u *simulatedUpstream) {
	sent := d.at(sim.now)
	id := u.announcement.ID
	sim.send(d.id, id, func() {
		if u.unresponsive {
			return
		}
		u.sequence++
		a, h := u.announcement, sim.heartbeat(u, d.id)
		a.State = u.state
		sim.send(id, d.id, func() {
			d.registry.RecordProbe(d.at(sim.now), sent, a, h)
			sim.tick(d)
		})
	})
}

func (sim *simulation) addUpstream(id string, c simulatedClock) *simulatedUpstream {
	u := &simulatedUpstream{simulatedClock: c, state: membership.Ready, echoes: map[string]echo{}, reportedAt: map[uint64]time.Duration{}}
	u.announcement = membership.Announcement{
		ID: id, Incarnation: 1, Address: "10.0.0.1:9000", FailureDomain: "a", FabricDomain: "a-rack-1",
		Kind: membership.ModelEngine, Services: []string{"rug-model"}, Role: membership.RoleBoth,
		Models:   []membership.Model{{Name: "rug-large", Version: "3"}},
		Features: membership.Features{Echo: true, Fencing: true}, Accelerators: 2, MaxConcurrent: 64, State: membership.Ready,
	}
	sim.upstreams[id] = u
	sim.schedule(time.Duration(sim.rng.Int63n(int64(time.Second))), func() { sim.sendHeartbeat(u) })
	return u
}

func (sim *simulation) restart(u *simulatedUpstream) {
	u.announcement.Incarnation++
	u.sequence, u.registrars, u.echoes, u.state, u.unresponsive = 0, nil, map[string]echo{}, membership.Ready, false
	sim.announce(u)
}

func (sim *simulation) announce(u *simulatedUpstream) {
	u.sequence++
	u.reportedAt[u.announcement.Incarnation] = sim.now
	a := u.announcement
	a.State, a.Sequence = u.state, u.sequence
	to := sim.daemons[sim.rng.Intn(len(sim.daemons))]
	sim.send(a.ID, to.id, func() {
		sim.deliverLease(u, to, a.Incarnation, to.registry.Announce(to.at(sim.now), a))
	})
}

func (sim *simulation) sendHeartbeat(u *simulatedUpstream) {
	sim.schedule(time.Second, func() { sim.sendHeartbeat(u) })
	if u.unresponsive {
		return
	}
	if len(u.registrars) == 0 || sim.now-u.lastLeaseAt > 2500*time.Millisecond {
		sim.announce(u)
		return
	}
	u.sequence++
	for _, r := range u.registrars {
		h, to := sim.heartbeat(u, r.ID), sim.byID[r.ID]
		sim.send(h.ID, r.ID, func() {
			sim.deliverLease(u, to, h.Incarnation, to.registry.Heartbeat(to.at(sim.now), h))
		})
	}
}

func (sim *simulation) heartbeat(u *simulatedUpstream, to string) membership.Heartbeat {
	u.reportedAt[u.announcement.Incarnation] = sim.now
	h := membership.Heartbeat{ID: u.announcement.ID, Incarnation: u.announcement.Incarnation, Sequence: u.sequence, State: u.state}
	if e, ok := u.echoes[to]; ok {
		h.Echo, h.EchoAgeMillis = e.value, u.at(sim.now).Sub(e.at).Milliseconds()
	}
	if u.load != nil {
		h.Running, h.Queued = u.load()
		h.KVUse, h.TokensPerSecond = float64(h.Running)/64, float64(h.Running)*40
	}
	return h
}

func (sim *simulation) deliverLease(u *simulatedUpstream, from *simulatedDaemon, incarnation uint64, l membership.Lease) {
	sim.tick(from)
	sim.send(from.id, u.announcement.ID, func() {
		if u.unresponsive || u.announcement.Incarnation != incarnation {
			return
		}
		u.echoes[from.id] = echo{l.Echo, u.at(sim.now)}
		u.registrars, u.lastLeaseAt = l.Registrars, sim.now
		if l.Announce {
			u.registrars = nil
		}
	})
}
