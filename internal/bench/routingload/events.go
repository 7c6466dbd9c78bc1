package routingload

import (
	"container/heap"
	"time"
)

// event is a scheduled action. Events at the same time run in the order of
// their scheduling, given by sequence.
type event struct {
	at       time.Duration
	sequence uint64
	action   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].sequence < h[j].sequence)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// clock is a discrete-event scheduler in simulated time.
type clock struct {
	now          time.Duration
	lastSequence uint64
	events       eventHeap
}

// simulationStart is the wall-clock time that corresponds to clock.now == 0.
var simulationStart = time.Unix(1_000_000_000, 0)

func (c *clock) time() time.Time { return simulationStart.Add(c.now) }

func (c *clock) after(d time.Duration, action func()) {
	c.lastSequence++
	heap.Push(&c.events, event{c.now + d, c.lastSequence, action})
}

// every runs an action after firstDelay and then once per period.
func (c *clock) every(firstDelay, period time.Duration, action func()) {
	var repeat func()
	repeat = func() {
		action()
		c.after(period, repeat)
	}
	c.after(firstDelay, repeat)
}

func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.action()
	}
	c.now = end
}
