package admission

import (
	"container/heap"
	"math"
	"time"
)

// phase is the state of a ticket.
type phase uint8

const (
	phaseQueued phase = iota
	phaseRunning
	phasePreempting // selected by Preempt, still running on its upstream
)

// ticket is the state of a request that has not ended.
type ticket struct {
	id            Ticket
	req           Request
	flow          *flow
	phase         phase
	dispatchClass Class // class at the time of dispatch
	queuedAt      time.Time
	latestStart   time.Time // zero means no limit
	charged       bool      // charged to the token buckets
	preemptions   int
	dispatchedAt  time.Time
	prev, next    *ticket // links in flow.queue or service.runningFree
	deadlineIndex int     // index in the deadline heap, -1 if absent
}

// ticketList is a doubly linked list of tickets.
type ticketList struct {
	head, tail *ticket
	size       int
}

func (l *ticketList) pushBack(t *ticket) {
	t.prev, t.next = l.tail, nil
	if l.tail != nil {
		l.tail.next = t
	} else {
		l.head = t
	}
	l.tail = t
	l.size++
}

func (l *ticketList) pushFront(t *ticket) {
	t.prev, t.next = nil, l.head
	if l.head != nil {
		l.head.prev = t
	} else {
		l.tail = t
	}
	l.head = t
	l.size++
}

func (l *ticketList) remove(t *ticket) {
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		l.head = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	} else {
		l.tail = t.prev
	}
	t.prev, t.next = nil, nil
	l.size--
}

// flow is the state of one account at one service.
type flow struct {
	seq           int
	service       *service
	account       *account
	class         Class
	weight        float64
	rules         Rules
	configured    bool
	limiter       limiter
	queue         ticketList
	virtualStart  float64 // virtual start time of the head of the queue
	virtualFinish float64 // virtual finish time of the last dispatched request
	heapIndex     int     // index in the class queue's heap, -1 if absent
	// throttledUntil is when a token bucket admits the head of the queue; zero
	// if the flow is not throttled.
	throttledUntil  time.Time
	inThrottledList bool // listed in Controller.throttled
}

// virtualCost returns the virtual time that a request takes.
func (f *flow) virtualCost(t *ticket) float64 {
	return math.Max(1, float64(t.req.Tokens)) / f.weight
}

// checkLimits reports whether a limit of the account blocks the head of the
// queue. The wait time is zero if the concurrency limit blocks it.
func (f *flow) checkLimits(now time.Time) (blocked bool, wait time.Duration) {
	if f.limiter.availableConcurrency() == 0 || f.account.limiter.availableConcurrency() == 0 {
		return true, 0
	}
	t := f.queue.head
	if t.charged {
		return false, 0
	}
	wait = max(f.limiter.waitTime(now, t.req.Tokens), f.account.limiter.waitTime(now, t.req.Tokens))
	return wait > 0, wait
}

// classQueue schedules the flows of one class at a service by start-time fair
// queueing: the flow with the lowest virtual start time is next.
type classQueue struct {
	virtualTime float64
	flows       []*flow // heap of eligible flows: with queued requests, not blocked by a limit
	queued      int
	running     int
}

func (q *classQueue) Len() int { return len(q.flows) }

func (q *classQueue) Less(i, j int) bool {
	a, b := q.flows[i], q.flows[j]
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	return a.seq < b.seq
}

func (q *classQueue) Swap(i, j int) {
	q.flows[i], q.flows[j] = q.flows[j], q.flows[i]
	q.flows[i].heapIndex, q.flows[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *classQueue) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(q.flows)
	q.flows = append(q.flows, f)
}

// Pop implements heap.Interface.
func (q *classQueue) Pop() any {
	f := q.flows[len(q.flows)-1]
	q.flows[len(q.flows)-1] = nil
	q.flows = q.flows[:len(q.flows)-1]
	f.heapIndex = -1
	return f
}

// activate makes a flow with queued requests eligible. A flow that was idle or
// blocked starts at the current virtual time and gets no credit for that time.
func (q *classQueue) activate(f *flow) {
	if f.heapIndex >= 0 || f.queue.size == 0 {
		return
	}
	f.virtualStart = math.Max(q.virtualTime, f.virtualFinish)
	heap.Push(q, f)
}

// deactivate makes a flow ineligible.
func (q *classQueue) deactivate(f *flow) {
	if f.heapIndex >= 0 {
		heap.Remove(q, f.heapIndex)
	}
}

// advance updates virtual times for the dispatch of t, which the caller has
// removed from the queue of f.
func (q *classQueue) advance(f *flow, t *ticket) {
	q.virtualTime = math.Max(q.virtualTime, f.virtualStart)
	f.virtualFinish = f.virtualStart + f.virtualCost(t)
	f.virtualStart = f.virtualFinish
	if f.queue.size == 0 {
		q.deactivate(f)
	} else if f.heapIndex >= 0 {
		heap.Fix(q, f.heapIndex)
	}
}

// deadlineHeap is a heap of queued tickets by latest start.
type deadlineHeap []*ticket

func (d deadlineHeap) Len() int { return len(d) }

func (d deadlineHeap) Less(i, j int) bool {
	if !d[i].latestStart.Equal(d[j].latestStart) {
		return d[i].latestStart.Before(d[j].latestStart)
	}
	return d[i].id < d[j].id
}

func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].deadlineIndex, d[j].deadlineIndex = i, j
}

// Push implements heap.Interface.
func (d *deadlineHeap) Push(x any) {
	t := x.(*ticket)
	t.deadlineIndex = len(*d)
	*d = append(*d, t)
}

// Pop implements heap.Interface.
func (d *deadlineHeap) Pop() any {
	old := *d
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	t.deadlineIndex = -1
	return t
}
