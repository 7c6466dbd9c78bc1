package admissionload

import (
	"container/heap"
	"time"
)

// event is a callback at a time; seq keeps the order of equal times.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1].do = nil
	*e = old[:len(old)-1]
	return last
}

// model is one simulated run.
type model struct {
	opts       Options
	policy     Policy
	priorities bool
	now        time.Duration
	seq        int
	pending    events
	engines    []*engine
	entries    []*entry
	meter      meter
}

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.pending, event{at: m.now + d, seq: m.seq, do: do})
}

// every calls do with a period, first after an offset.
func (m *model) every(offset, period time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		m.after(period, again)
	}
	m.after(offset, again)
}

func (m *model) run(until time.Duration) {
	for len(m.pending) > 0 && m.pending[0].at <= until {
		e := heap.Pop(&m.pending).(event)
		m.now = e.at
		e.do()
	}
	m.now = until
	m.touch()
}

// end returns when the measured window closes.
func (m *model) end() time.Duration { return m.opts.Warmup + m.opts.Duration }

// inWindow returns the part of the interval that ends now inside the window.
func (m *model) inWindow(d time.Duration) time.Duration {
	from, to := max(m.now-d, m.opts.Warmup), min(m.now, m.end())
	return max(0, to-from)
}

// touch integrates idle slots up to now. It is called before each change of
// the number of running or waiting jobs.
func (m *model) touch() {
	d := m.inWindow(m.now - m.meter.last)
	m.meter.last = m.now
	if d <= 0 {
		return
	}
	idle := len(m.engines)*m.opts.Slots - m.meter.count[running]
	seconds := d.Seconds()
	m.meter.idleAtEntry += seconds * float64(min(idle, m.meter.count[atEntry]))
	m.meter.idleAtEngine += seconds * float64(min(idle, m.meter.count[atEngineQueued]))
	m.meter.idleWaiting += seconds * float64(min(idle, m.meter.count[atEntry]+m.meter.count[atEngineQueued]))
}

func (m *model) setState(j *job, s state) {
	m.touch()
	m.meter.count[j.state]--
	m.meter.count[s]++
	j.state = s
}

// account adds slot time to a job.
func (m *model) account(j *job, ran time.Duration) {
	used := m.inWindow(ran)
	j.used += used
	m.meter.busy[class(j.free)] += used.Seconds()
}

// offer starts a job at the entry that the load balancer picked.
func (m *model) offer(j *job) {
	j.state, j.first, j.left = atEntry, -1, j.work
	m.touch()
	m.meter.count[atEntry]++
	m.meter.offered(m, j)
	m.after(j.deadline-m.now, func() { m.timeout(j) })
	j.entry.arrive(j)
}

// complete records a job that ran to its end.
func (m *model) complete(j *job) {
	m.setState(j, ended)
	m.meter.completed(m, j)
}

// timeout ends a job whose caller has stopped waiting.
func (m *model) timeout(j *job) {
	switch j.state {
	case ended:
		return
	case running, atEngineQueued:
		j.engine.cancel(j)
		m.setState(j, ended)
		j.engine.fill()
	default:
		m.setState(j, ended)
	}
	m.meter.wasted += j.used.Seconds()
	j.entry.abandoned(j)
}

func class(free bool) int {
	if free {
		return 1
	}
	return 0
}
