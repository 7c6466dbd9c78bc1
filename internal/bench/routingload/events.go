package routingload

import (
	"container/heap"
	"time"
)

// event is an action at a time; order breaks ties by the order of scheduling.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].order < h[j].order)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// clock runs events in the order of simulated time.
type clock struct {
	now    time.Duration
	order  uint64
	events eventHeap
}

// epoch is the simulated time of the start.
var epoch = time.Unix(1_000_000_000, 0)

func (c *clock) time() time.Time { return epoch.Add(c.now) }

func (c *clock) after(d time.Duration, run func()) {
	c.order++
	heap.Push(&c.events, event{c.now + d, c.order, run})
}

// every runs an action periodically after a first delay.
func (c *clock) every(first, period time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		c.after(period, again)
	}
	c.after(first, again)
}

func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
