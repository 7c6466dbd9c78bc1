package admissionload

import (
	"time"

	"github.com/bluebellfield/bluebellfield/routing"
)

// state is where a job is.
type state uint8

const (
	atEntry state = iota
	inTransit
	atEngineQueued
	running
	ended
)

// job is a request in the model.
type job struct {
	free      bool
	account   int
	arrival   time.Duration
	deadline  time.Duration
	work      time.Duration // run time without interruption
	left      time.Duration // of work
	penalty   time.Duration // recomputation due before work continues
	state     state
	started   time.Duration // of the current run
	first     time.Duration // first start, -1 before it
	used      time.Duration // slot time of all runs inside the measured window
	epoch     int           // invalidates the completion event of an earlier run
	entry     *entry
	engine    *engine
	upstream  *routing.Upstream // of the current dispatch
	ticket    uint64
	evictions int
}

// engine runs up to a number of jobs at once, each at full speed, and queues
// the rest: paying before free when it honours priorities.
type engine struct {
	m       *model
	index   int
	running []*job
	queue   [2][]*job // paying, free; all in the first without priorities
}

func (e *engine) load() int { return len(e.running) + len(e.queue[0]) + len(e.queue[1]) }

func (e *engine) lane(j *job) int {
	if e.m.priorities && j.free {
		return 1
	}
	return 0
}

// add accepts a job that was dispatched to the engine.
func (e *engine) add(j *job) {
	j.engine = e
	if len(e.running) < e.m.opts.Slots {
		e.start(j)
		return
	}
	if e.m.priorities && !j.free {
		if victim := e.latestFree(); victim != nil {
			e.stop(victim)
			victim.penalty = e.m.opts.ResumePenalty
			victim.evictions++
			e.m.setState(victim, atEngineQueued)
			e.queue[1] = append([]*job{victim}, e.queue[1]...)
			e.start(j)
			return
		}
	}
	e.m.setState(j, atEngineQueued)
	lane := e.lane(j)
	e.queue[lane] = append(e.queue[lane], j)
}

func (e *engine) latestFree() *job {
	var latest *job
	for _, j := range e.running {
		if j.free && (latest == nil || j.started > latest.started) {
			latest = j
		}
	}
	return latest
}

func (e *engine) start(j *job) {
	e.m.setState(j, running)
	e.running = append(e.running, j)
	j.started = e.m.now
	if j.first < 0 {
		j.first = e.m.now
	}
	j.epoch++
	epoch := j.epoch
	e.m.after(j.penalty+j.left, func() {
		if j.epoch == epoch && j.state == running {
			e.finish(j)
		}
	})
}

// stop takes a running job off its slot and keeps its progress.
func (e *engine) stop(j *job) {
	ran := e.m.now - j.started
	e.m.account(j, ran)
	j.left -= max(0, ran-j.penalty)
	j.penalty = max(0, j.penalty-ran)
	for i, other := range e.running {
		if other == j {
			e.running = append(e.running[:i], e.running[i+1:]...)
			break
		}
	}
	j.epoch++
}

func (e *engine) finish(j *job) {
	e.stop(j)
	e.m.complete(j)
	e.fill()
	e.m.after(e.m.opts.Latency, func() { j.entry.finished(j) })
}

// cancel removes a job, running or queued.
func (e *engine) cancel(j *job) {
	switch j.state {
	case running:
		e.stop(j)
		j.penalty = e.m.opts.ResumePenalty
	case atEngineQueued:
		lane := e.lane(j)
		for i, other := range e.queue[lane] {
			if other == j {
				e.queue[lane] = append(e.queue[lane][:i:i], e.queue[lane][i+1:]...)
				break
			}
		}
	}
}

// fill starts queued jobs in idle slots.
func (e *engine) fill() {
	for len(e.running) < e.m.opts.Slots {
		lane := 0
		if len(e.queue[0]) == 0 {
			lane = 1
		}
		if len(e.queue[lane]) == 0 {
			return
		}
		j := e.queue[lane][0]
		e.queue[lane] = e.queue[lane][1:]
		e.start(j)
	}
}
