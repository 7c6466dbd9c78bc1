package admissionload

import (
	"container/heap"
	"time"
)

// event is a scheduled action. Events at the same time run in the order of
// their scheduling, given by sequence.
type event struct {
	at       time.Duration
	sequence int
	action   func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }

func (e eventHeap) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1].action = nil
	*e = old[:len(old)-1]
	return last
}

// simulation is a discrete-event simulation of one policy at one load.
type simulation struct {
	options      Options
	policy       Policy
	priorities   bool
	now          time.Duration
	lastSequence int
	events       eventHeap
	engines      []*engine
	entries      []*entry
	metrics      metrics
}

func (s *simulation) after(d time.Duration, action func()) {
	s.lastSequence++
	heap.Push(&s.events, event{at: s.now + d, sequence: s.lastSequence, action: action})
}

// every runs an action after offset and then once per period.
func (s *simulation) every(offset, period time.Duration, action func()) {
	var repeat func()
	repeat = func() {
		action()
		s.after(period, repeat)
	}
	s.after(offset, repeat)
}

func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.action()
	}
	s.now = until
	s.integrateIdle()
}

// windowEnd returns the end of the measurement window.
func (s *simulation) windowEnd() time.Duration { return s.options.Warmup + s.options.Duration }

// inWindow returns how much of the last interval of length d lies within the
// measurement window.
func (s *simulation) inWindow(d time.Duration) time.Duration {
	from, to := max(s.now-d, s.options.Warmup), min(s.now, s.windowEnd())
	return max(0, to-from)
}

// integrateIdle integrates the idle slots up to now. It must be called before
// each change of the number of running or waiting jobs.
func (s *simulation) integrateIdle() {
	d := s.inWindow(s.now - s.metrics.integratedTo)
	s.metrics.integratedTo = s.now
	if d <= 0 {
		return
	}
	idle := len(s.engines)*s.options.Slots - s.metrics.jobsByState[running]
	seconds := d.Seconds()
	s.metrics.idleEntryWaits += seconds * float64(min(idle, s.metrics.jobsByState[atEntry]))
	s.metrics.idleEngineWaits += seconds * float64(min(idle, s.metrics.jobsByState[atEngineQueued]))
	s.metrics.idleWhileWaiting += seconds * float64(min(idle, s.metrics.jobsByState[atEntry]+s.metrics.jobsByState[atEngineQueued]))
}

func (s *simulation) setState(j *job, to jobState) {
	s.integrateIdle()
	s.metrics.jobsByState[j.state]--
	s.metrics.jobsByState[to]++
	j.state = to
}

// addSlotTime adds the slot time of a run that ends now to a job and its class.
func (s *simulation) addSlotTime(j *job, ran time.Duration) {
	used := s.inWindow(ran)
	j.slotTime += used
	s.metrics.slotSeconds[classIndex(j.free)] += used.Seconds()
}

// submit passes a new job to the entry that the load balancer selected.
func (s *simulation) submit(j *job) {
	j.state, j.firstStart, j.remaining = atEntry, -1, j.work
	s.integrateIdle()
	s.metrics.jobsByState[atEntry]++
	s.metrics.recordOffered(s, j)
	s.after(j.deadline-s.now, func() { s.expire(j) })
	j.entry.submit(j)
}

// complete records a job that ran to completion.
func (s *simulation) complete(j *job) {
	s.setState(j, ended)
	s.metrics.recordCompleted(s, j)
}

// expire ends a job at the deadline of its caller, unless it has ended before.
func (s *simulation) expire(j *job) {
	switch j.state {
	case ended:
		return
	case running, atEngineQueued:
		j.engine.cancel(j)
		s.setState(j, ended)
		j.engine.fillSlots()
	default:
		s.setState(j, ended)
	}
	s.metrics.wastedSeconds += j.slotTime.Seconds()
	j.entry.cancel(j)
}

func classIndex(free bool) int {
	if free {
		return 1
	}
	return 0
}
