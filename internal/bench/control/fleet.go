package control

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand"
	"runtime"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/bench"
	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/membership/wire"
)

// simulationStart is the time at which simulated runs start.
var simulationStart = time.Unix(1_700_000_000, 0)

const (
	linkDelay         = time.Millisecond
	heartbeatInterval = time.Second
	// warmup is long enough for every daemon to learn of every upstream.
	warmup = 10 * time.Second
)

type event struct {
	at       time.Duration
	sequence int
	action   func() error
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// topology is the size of a simulated deployment: the number of failure domains,
// and the numbers of daemons and upstreams in each of them.
type topology struct{ domains, daemons, upstreams int }

// fleet simulates the registries of all daemons and their upstreams. Daemons
// exchange encoded batches.
type fleet struct {
	topology     topology
	now          time.Duration
	events       eventQueue
	lastSequence int
	rng          *rand.Rand
	daemons      []*simDaemon
	byID         map[string]*simDaemon
	upstreams    []*simUpstream
	// batchTraffic and heartbeats are totals over all daemons.
	batchTraffic traffic
	heartbeats   int
	// heartbeatBytes is the size of a heartbeat and its lease with HTTP headers.
	heartbeatBytes int
}

type simDaemon struct {
	id, domain string
	registry   *membership.Registry
	nextTickAt time.Duration
}

type simUpstream struct {
	announcement membership.Announcement
	sequence     uint64
	running      int
	registrars   []membership.Registrar
	echoes       map[string]receivedEcho
}

type receivedEcho struct {
	echo string
	at   time.Duration
}

func newFleet(seed int64, t topology) *fleet {
	f := &fleet{topology: t, rng: rand.New(rand.NewSource(seed)), byID: map[string]*simDaemon{}}
	var peers []membership.Peer
	for d := range t.domains {
		for i := range t.daemons {
			id, domain := fmt.Sprintf("entry-%d-%03d", d, i), fmt.Sprintf("domain-%d", d)
			peers = append(peers, membership.Peer{ID: id, Address: "10.1.0.1:8081", FailureDomain: domain})
			f.daemons = append(f.daemons, &simDaemon{id: id, domain: domain})
			f.byID[id] = f.daemons[len(f.daemons)-1]
		}
	}
	for i, d := range f.daemons {
		d.registry = membership.New(membership.Config{
			ID: d.id, Address: "10.1.0.1:8081", FailureDomain: d.domain, Incarnation: uint64(simulationStart.UnixNano()),
		}, simulationStart)
		d.registry.SetPeers(simulationStart, peers)
		f.after(time.Duration(i)*time.Millisecond, func() error { return f.tick(d) })
	}
	for i := range t.domains * t.upstreams {
		f.addUpstream(i)
	}
	return f
}

func (f *fleet) addUpstream(i int) {
	domain := i % f.topology.domains
	u := &simUpstream{echoes: map[string]receivedEcho{}, announcement: membership.Announcement{
		ID: fmt.Sprintf("worker-%04d", i), Incarnation: uint64(simulationStart.UnixNano()), Address: "10.0.0.1:9000",
		FailureDomain: fmt.Sprintf("domain-%d", domain), FabricDomain: fmt.Sprintf("rack-%d-%d", domain, i%9),
		Kind: membership.ModelEngine, Services: []string{"rug-model"}, Role: membership.RoleBoth,
		Models:   []membership.Model{{Name: "rug-large", Version: "3"}},
		Features: membership.Features{Echo: true, Fencing: true, Priorities: true}, Accelerators: 2, MaxConcurrent: 64, State: membership.Ready,
	}}
	f.upstreams = append(f.upstreams, u)
	f.after(time.Duration(f.rng.Int63n(int64(heartbeatInterval))), func() error { return f.sendHeartbeats(u) })
}

func (f *fleet) after(d time.Duration, action func() error) {
	f.lastSequence++
	heap.Push(&f.events, event{f.now + d, f.lastSequence, action})
}

func (f *fleet) run(until time.Duration) error {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		if err := e.action(); err != nil {
			return err
		}
	}
	f.now = until
	return nil
}

func (f *fleet) time() time.Time { return simulationStart.Add(f.now) }

// tick runs a registry as the membership actor of a daemon does, and schedules
// its next tick.
func (f *fleet) tick(d *simDaemon) error {
	output := d.registry.Tick(f.time())
	d.registry.View()
	for _, o := range output.Batches {
		data, err := wire.Encode(o.Batch)
		if err != nil {
			return err
		}
		f.batchTraffic.add(sent, len(data))
		f.after(linkDelay, func() error { return f.deliver(d.id, f.byID[o.To], data) })
	}
	// Probes are not simulated. All upstreams send heartbeats, which arrive
	// before a probe of a known upstream is due.
	wait := max(d.registry.NextTick().Sub(f.time()), time.Millisecond)
	if d.nextTickAt <= f.now || f.now+wait < d.nextTickAt-time.Millisecond {
		d.nextTickAt = f.now + wait
		f.after(wait, func() error { return f.tick(d) })
	}
	return nil
}

func (f *fleet) deliver(from string, to *simDaemon, data []byte) error {
	batch, err := wire.Decode(data)
	if err != nil {
		return err
	}
	f.batchTraffic.add(received, len(data))
	to.registry.Merge(f.time(), from, batch)
	return f.tick(to)
}

// sendHeartbeats sends heartbeats to the registrars of an upstream. If it has
// none, it announces the upstream to a random daemon of its failure domain.
func (f *fleet) sendHeartbeats(u *simUpstream) error {
	f.after(heartbeatInterval, func() error { return f.sendHeartbeats(u) })
	u.sequence++
	// The load follows a random walk, so that some changes are large enough for
	// a report.
	u.running = min(max(u.running+f.rng.Intn(13)-6, 0), 64)
	if len(u.registrars) == 0 {
		u.announcement.Sequence = u.sequence
		d := f.daemons[f.rng.Intn(len(f.daemons))]
		for d.domain != u.announcement.FailureDomain {
			d = f.daemons[f.rng.Intn(len(f.daemons))]
		}
		return f.applyLease(u, d, d.registry.Announce(f.time(), u.announcement))
	}
	for _, r := range u.registrars {
		d := f.byID[r.ID]
		h := membership.Heartbeat{
			ID: u.announcement.ID, Incarnation: u.announcement.Incarnation, Sequence: u.sequence, State: membership.Ready,
			Running: u.running, KVUse: float64(u.running) / 64, TokensPerSecond: float64(u.running) * 40,
		}
		if last, ok := u.echoes[d.id]; ok {
			h.Echo, h.EchoAgeMillis = last.echo, (f.now - last.at).Milliseconds()
		}
		lease := d.registry.Heartbeat(f.time(), h)
		if err := f.countHeartbeat(h, lease); err != nil {
			return err
		}
		if err := f.applyLease(u, d, lease); err != nil {
			return err
		}
	}
	return nil
}

// countHeartbeat counts a heartbeat. The size of all heartbeats is that of the
// first one with an echo.
func (f *fleet) countHeartbeat(h membership.Heartbeat, l membership.Lease) error {
	f.heartbeats++
	if f.heartbeatBytes > 0 || h.Echo == "" {
		return nil
	}
	request, err := json.Marshal(h)
	if err != nil {
		return err
	}
	answer, err := json.Marshal(l)
	f.heartbeatBytes = len(request) + len(answer) + httpHeaderBytes
	return err
}

func (f *fleet) applyLease(u *simUpstream, d *simDaemon, l membership.Lease) error {
	u.registrars = l.Registrars
	if l.Announce {
		u.registrars = nil
	}
	u.echoes[d.id] = receivedEcho{l.Echo, f.now}
	return f.tick(d)
}

// usage is the average control-plane load of one daemon.
type usage struct {
	// Payload, Framed and Wire are bytes/s in both directions: of the encoded
	// messages, with stream framing, and with TCP/IP headers.
	Payload float64 `json:"payloadBytesPerSecond"`
	Framed  float64 `json:"framedBytesPerSecond"`
	Wire    float64 `json:"wireBytesPerSecond"`
	// CorePercent is the CPU time in percent of one core.
	CorePercent float64 `json:"corePercent"`
	// Megabytes is the heap in use.
	Megabytes float64 `json:"megabytes"`
}

// measureMembership simulates a deployment and returns the average usage of a
// daemon.
func measureMembership(seed int64, t topology, seconds int) (usage, error) {
	heapBefore := heapBytes()
	f := newFleet(seed, t)
	if err := f.run(warmup); err != nil {
		return usage{}, err
	}
	f.batchTraffic, f.heartbeats = traffic{}, 0
	cpuBefore, err := bench.CPUTime()
	if err != nil {
		return usage{}, err
	}
	if err := f.run(warmup + time.Duration(seconds)*time.Second); err != nil {
		return usage{}, err
	}
	cpuAfter, err := bench.CPUTime()
	if err != nil {
		return usage{}, err
	}
	daemonSeconds := float64(len(f.daemons) * seconds)
	heartbeatsPerSecond := float64(f.heartbeats) / daemonSeconds
	u := usage{
		Payload: float64(f.batchTraffic.payload[sent]+f.batchTraffic.payload[received])/daemonSeconds + heartbeatsPerSecond*float64(f.heartbeatBytes),
		Framed:  float64(f.batchTraffic.framed[sent]+f.batchTraffic.framed[received])/daemonSeconds + heartbeatsPerSecond*float64(f.heartbeatBytes) + keepAliveBytesPerSecond(len(f.daemons)-1, false),
		// The response acknowledges the heartbeat, so that an exchange has three
		// segments.
		Wire:        float64(f.batchTraffic.wireBytes())/daemonSeconds + heartbeatsPerSecond*float64(f.heartbeatBytes+3*tcpHeaderBytes) + keepAliveBytesPerSecond(len(f.daemons)-1, true),
		CorePercent: 100 * (cpuAfter - cpuBefore).Seconds() / daemonSeconds,
		Megabytes:   float64(heapBytes()-heapBefore) / float64(len(f.daemons)) / 1e6,
	}
	runtime.KeepAlive(f)
	return u, nil
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
