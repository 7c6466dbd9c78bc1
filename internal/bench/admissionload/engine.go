package admissionload

import (
	"time"

	"github.com/bluebellfield/bluebellfield/routing"
)

// jobState says where a job is.
type jobState uint8

const (
	atEntry jobState = iota
	inTransit
	atEngineQueued
	running
	ended
)

// job is a simulated request.
type job struct {
	free          bool
	account       int
	arrival       time.Duration
	deadline      time.Duration
	work          time.Duration // run time without interruption
	remaining     time.Duration // of work
	recomputation time.Duration // time to recompute lost state before work continues
	state         jobState
	runStart      time.Duration // of the current run
	firstStart    time.Duration // -1 before the first start
	slotTime      time.Duration // of all runs, within the measurement window
	runNumber     int           // invalidates the completion event of an earlier run
	entry         *entry
	engine        *engine
	upstream      *routing.Upstream // of the current dispatch
	ticket        uint64
	evictions     int
}

// engine runs up to Slots jobs concurrently, each at full speed, and queues the
// others. With priorities, it starts paying jobs before free ones and preempts
// free jobs for them.
type engine struct {
	simulation *simulation
	index      int
	running    []*job
	queues     [2][]*job // paying and free jobs; without priorities, all are in the first
}

func (e *engine) load() int { return len(e.running) + len(e.queues[0]) + len(e.queues[1]) }

func (e *engine) queueIndex(j *job) int {
	if e.simulation.priorities && j.free {
		return 1
	}
	return 0
}

// accept starts or queues a job that was dispatched to the engine.
func (e *engine) accept(j *job) {
	j.engine = e
	if len(e.running) < e.simulation.options.Slots {
		e.run(j)
		return
	}
	if e.simulation.priorities && !j.free {
		if victim := e.lastStartedFree(); victim != nil {
			e.stop(victim)
			victim.recomputation = e.simulation.options.ResumePenalty
			victim.evictions++
			e.simulation.setState(victim, atEngineQueued)
			e.queues[1] = append([]*job{victim}, e.queues[1]...)
			e.run(j)
			return
		}
	}
	e.simulation.setState(j, atEngineQueued)
	queue := e.queueIndex(j)
	e.queues[queue] = append(e.queues[queue], j)
}

func (e *engine) lastStartedFree() *job {
	var last *job
	for _, j := range e.running {
		if j.free && (last == nil || j.runStart > last.runStart) {
			last = j
		}
	}
	return last
}

func (e *engine) run(j *job) {
	e.simulation.setState(j, running)
	e.running = append(e.running, j)
	j.runStart = e.simulation.now
	if j.firstStart < 0 {
		j.firstStart = e.simulation.now
	}
	j.runNumber++
	runNumber := j.runNumber
	e.simulation.after(j.recomputation+j.remaining, func() {
		if j.runNumber == runNumber && j.state == running {
			e.finish(j)
		}
	})
}

// stop removes a running job from its slot and records its progress.
func (e *engine) stop(j *job) {
	ran := e.simulation.now - j.runStart
	e.simulation.addSlotTime(j, ran)
	j.remaining -= max(0, ran-j.recomputation)
	j.recomputation = max(0, j.recomputation-ran)
	for i, other := range e.running {
		if other == j {
			e.running = append(e.running[:i], e.running[i+1:]...)
			break
		}
	}
	j.runNumber++
}

func (e *engine) finish(j *job) {
	e.stop(j)
	e.simulation.complete(j)
	e.fillSlots()
	e.simulation.after(e.simulation.options.Latency, func() { j.entry.complete(j) })
}

// cancel removes a running or queued job.
func (e *engine) cancel(j *job) {
	switch j.state {
	case running:
		e.stop(j)
		j.recomputation = e.simulation.options.ResumePenalty
	case atEngineQueued:
		queue := e.queueIndex(j)
		for i, other := range e.queues[queue] {
			if other == j {
				e.queues[queue] = append(e.queues[queue][:i:i], e.queues[queue][i+1:]...)
				break
			}
		}
	}
}

// fillSlots starts queued jobs in idle slots.
func (e *engine) fillSlots() {
	for len(e.running) < e.simulation.options.Slots {
		queue := 0
		if len(e.queues[0]) == 0 {
			queue = 1
		}
		if len(e.queues[queue]) == 0 {
			return
		}
		j := e.queues[queue][0]
		e.queues[queue] = e.queues[queue][1:]
		e.run(j)
	}
}
