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

// origin is the time at which each simulated run starts.
var origin = time.Unix(1_700_000_000, 0)

const (
	linkDelay = time.Millisecond
	beatEvery = time.Second
	// settleTime lets every daemon learn of every upstream.
	settleTime = 10 * time.Second
)

type event struct {
	at   time.Duration
	n    int
	call func() error
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// shape is the size of a simulated deployment.
type shape struct{ domains, daemons, upstreams int } // daemons and upstreams of each domain

// fleet is a set of registries with upstreams in simulated time. Batches pass
// in their encoded form.
type fleet struct {
	shape   shape
	now     time.Duration
	queue   eventQueue
	count   int
	rng     *rand.Rand
	daemons []*simDaemon
	byID    map[string]*simDaemon
	workers []*worker
	// batches and beats are the traffic of all daemons.
	batches traffic
	beats   int
	// beatBytes is the size of heartbeats and leases with HTTP headers.
	beatBytes int
}

type simDaemon struct {
	id, domain string
	registry   *membership.Registry
	next       time.Duration
}

type worker struct {
	announcement membership.Announcement
	sequence     uint64
	running      int
	registrars   []membership.Registrar
	echoes       map[string]mark
}

type mark struct {
	echo string
	at   time.Duration
}

func newFleet(seed int64, s shape) *fleet {
	f := &fleet{shape: s, rng: rand.New(rand.NewSource(seed)), byID: map[string]*simDaemon{}}
	var peers []membership.Peer
	for d := range s.domains {
		for i := range s.daemons {
			id, domain := fmt.Sprintf("entry-%d-%03d", d, i), fmt.Sprintf("domain-%d", d)
			peers = append(peers, membership.Peer{ID: id, Address: "10.1.0.1:8081", FailureDomain: domain})
			f.daemons = append(f.daemons, &simDaemon{id: id, domain: domain})
			f.byID[id] = f.daemons[len(f.daemons)-1]
		}
	}
	for i, d := range f.daemons {
		d.registry = membership.New(membership.Config{
			ID: d.id, Address: "10.1.0.1:8081", FailureDomain: d.domain, Incarnation: uint64(origin.UnixNano()),
		}, origin)
		d.registry.SetPeers(origin, peers)
		f.after(time.Duration(i)*time.Millisecond, func() error { return f.tick(d) })
	}
	for i := range s.domains * s.upstreams {
		f.addWorker(i)
	}
	return f
}

func (f *fleet) addWorker(i int) {
	domain := i % f.shape.domains
	w := &worker{echoes: map[string]mark{}, announcement: membership.Announcement{
		ID: fmt.Sprintf("worker-%04d", i), Incarnation: uint64(origin.UnixNano()), Address: "10.0.0.1:9000",
		FailureDomain: fmt.Sprintf("domain-%d", domain), FabricDomain: fmt.Sprintf("rack-%d-%d", domain, i%9),
		Kind: membership.ModelEngine, Services: []string{"rug-model"}, Role: membership.RoleBoth,
		Models:   []membership.Model{{Name: "rug-large", Version: "3"}},
		Features: membership.Features{Echo: true, Fencing: true, Priorities: true}, Accelerators: 2, MaxConcurrent: 64, State: membership.Ready,
	}}
	f.workers = append(f.workers, w)
	f.after(time.Duration(f.rng.Int63n(int64(beatEvery))), func() error { return f.beat(w) })
}

func (f *fleet) after(d time.Duration, call func() error) {
	f.count++
	heap.Push(&f.queue, event{f.now + d, f.count, call})
}

func (f *fleet) run(until time.Duration) error {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		if err := e.call(); err != nil {
			return err
		}
	}
	f.now = until
	return nil
}

func (f *fleet) time() time.Time { return origin.Add(f.now) }

// tick runs a registry as the membership actor does and plans the next turn.
func (f *fleet) tick(d *simDaemon) error {
	out := d.registry.Tick(f.time())
	d.registry.View()
	for _, o := range out.Batches {
		data, err := wire.Encode(o.Batch)
		if err != nil {
			return err
		}
		f.batches.add(sent, len(data))
		f.after(linkDelay, func() error { return f.deliver(d.id, f.byID[o.To], data) })
	}
	// Probes are not answered: here every upstream sends its heartbeats, which
	// come before a probe of a known upstream is due.
	wait := max(d.registry.NextTick().Sub(f.time()), time.Millisecond)
	if d.next <= f.now || f.now+wait < d.next-time.Millisecond {
		d.next = f.now + wait
		f.after(wait, func() error { return f.tick(d) })
	}
	return nil
}

func (f *fleet) deliver(from string, to *simDaemon, data []byte) error {
	batch, err := wire.Decode(data)
	if err != nil {
		return err
	}
	f.batches.add(received, len(data))
	to.registry.Merge(f.time(), from, batch)
	return f.tick(to)
}

// beat sends the heartbeats of an upstream, or announces it.
func (f *fleet) beat(w *worker) error {
	f.after(beatEvery, func() error { return f.beat(w) })
	w.sequence++
	// The load wanders, so that some changes are worth a report.
	w.running = min(max(w.running+f.rng.Intn(13)-6, 0), 64)
	if len(w.registrars) == 0 {
		w.announcement.Sequence = w.sequence
		d := f.daemons[f.rng.Intn(len(f.daemons))]
		for d.domain != w.announcement.FailureDomain {
			d = f.daemons[f.rng.Intn(len(f.daemons))]
		}
		return f.answered(w, d, d.registry.Announce(f.time(), w.announcement))
	}
	for _, r := range w.registrars {
		d := f.byID[r.ID]
		h := membership.Heartbeat{
			ID: w.announcement.ID, Incarnation: w.announcement.Incarnation, Sequence: w.sequence, State: membership.Ready,
			Running: w.running, KVUse: float64(w.running) / 64, TokensPerS: float64(w.running) * 40,
		}
		if m, ok := w.echoes[d.id]; ok {
			h.Echo, h.EchoAgeMillis = m.echo, (f.now - m.at).Milliseconds()
		}
		lease := d.registry.Heartbeat(f.time(), h)
		if err := f.meterBeat(h, lease); err != nil {
			return err
		}
		if err := f.answered(w, d, lease); err != nil {
			return err
		}
	}
	return nil
}

// meterBeat counts heartbeats; their size is taken from the first one.
func (f *fleet) meterBeat(h membership.Heartbeat, l membership.Lease) error {
	f.beats++
	if f.beatBytes > 0 || h.Echo == "" {
		return nil
	}
	request, err := json.Marshal(h)
	if err != nil {
		return err
	}
	answer, err := json.Marshal(l)
	f.beatBytes = len(request) + len(answer) + httpHeaders
	return err
}

func (f *fleet) answered(w *worker, d *simDaemon, l membership.Lease) error {
	w.registrars = l.Registrars
	if l.Announce {
		w.registrars = nil
	}
	w.echoes[d.id] = mark{l.Echo, f.now}
	return f.tick(d)
}

// usage is the control work of one daemon on average.
type usage struct {
	// Payload, Framed and Wire are bytes/s in both directions: encoded messages,
	// with the framing of streams, and with TCP/IP headers.
	Payload float64 `json:"payloadBytesPerSecond"`
	Framed  float64 `json:"framedBytesPerSecond"`
	Wire    float64 `json:"wireBytesPerSecond"`
	// Core is the share of a core in percent.
	Core float64 `json:"corePercent"`
	// MB is the heap in use.
	MB float64 `json:"megabytes"`
}

// measureMembership runs a deployment and returns the work of a daemon.
func measureMembership(seed int64, s shape, seconds int) (usage, error) {
	before := heapBytes()
	f := newFleet(seed, s)
	if err := f.run(settleTime); err != nil {
		return usage{}, err
	}
	f.batches, f.beats = traffic{}, 0
	cpu, err := bench.CPUTime()
	if err != nil {
		return usage{}, err
	}
	if err := f.run(settleTime + time.Duration(seconds)*time.Second); err != nil {
		return usage{}, err
	}
	used, err := bench.CPUTime()
	if err != nil {
		return usage{}, err
	}
	count := float64(len(f.daemons) * seconds)
	beats := float64(f.beats) / count
	u := usage{
		Payload: float64(f.batches.payload[sent]+f.batches.payload[received])/count + beats*float64(f.beatBytes),
		Framed:  float64(f.batches.framed[sent]+f.batches.framed[received])/count + beats*float64(f.beatBytes) + keepAliveRate(len(f.daemons)-1, false),
		// A heartbeat and its answer acknowledge each other.
		Wire: float64(f.batches.onWire())/count + beats*float64(f.beatBytes+3*tcpHeader) + keepAliveRate(len(f.daemons)-1, true),
		Core: 100 * (used - cpu).Seconds() / count,
		MB:   float64(heapBytes()-before) / float64(len(f.daemons)) / 1e6,
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
