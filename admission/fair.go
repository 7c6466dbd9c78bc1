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
	phaseYielding // told to give way, still on its upstream
)

type ticket struct {
	id          Ticket
	req         Request
	flow        *flow
	phase       phase
	class       Class // under which it was dispatched
	queuedAt    time.Time
	latestStart time.Time // zero is none
	paid        bool      // charged to the token buckets
	preemptions int
	admittedAt  time.Time
	prev, next  *ticket // in the flow's queue, or in the service's running free work
	due         int     // index in the deadline heap, -1 when absent
}

// list is a doubly linked list of tickets.
type list struct {
	head, tail *ticket
	size       int
}

func (l *list) pushBack(t *ticket) {
	t.prev, t.next = l.tail, nil
	if l.tail != nil {
		l.tail.next = t
	} else {
		l.head = t
	}
	l.tail = t
	l.size++
}

func (l *list) pushFront(t *ticket) {
	t.prev, t.next = nil, l.head
	if l.head != nil {
		l.head.prev = t
	} else {
		l.tail = t
	}
	l.head = t
	l.size++
}

func (l *list) remove(t *ticket) {
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

// flow is the work of one account at one service.
type flow struct {
	seq     int
	service *service
	account *account
	class   Class
	weight  float64
	rules   Rules
	known   bool
	at      gate
	queue   list
	start   float64 // virtual start of the head of the queue
	finish  float64 // virtual finish of the last dispatched request
	index   int     // in the class queue's heap, -1 when absent
	// parkedUntil is set when a token bucket blocks the head of the queue.
	parkedUntil time.Time
	listed      bool // in the controller's list of parked flows
}

// cost is the virtual time that a request takes.
func (f *flow) cost(t *ticket) float64 {
	return math.Max(1, float64(t.req.Tokens)) / f.weight
}

// blocked returns whether the limits of the account hold back the head of the
// queue, and for how long when a token bucket does.
func (f *flow) blocked(now time.Time) (blocked bool, wait time.Duration) {
	if f.at.room() == 0 || f.account.gate.room() == 0 {
		return true, 0
	}
	t := f.queue.head
	if t.paid {
		return false, 0
	}
	wait = max(f.at.wait(now, t.req.Tokens), f.account.gate.wait(now, t.req.Tokens))
	return wait > 0, wait
}

// classQueue orders the flows of one class at a service by virtual start
// (start-time fair queueing).
type classQueue struct {
	virtual float64
	flows   []*flow // heap of flows with queued work that no limit blocks
	queued  int
	running int
}

func (q *classQueue) Len() int { return len(q.flows) }

func (q *classQueue) Less(i, j int) bool {
	a, b := q.flows[i], q.flows[j]
	if a.start != b.start {
		return a.start < b.start
	}
	return a.seq < b.seq
}

func (q *classQueue) Swap(i, j int) {
	q.flows[i], q.flows[j] = q.flows[j], q.flows[i]
	q.flows[i].index, q.flows[j].index = i, j
}

// Push implements heap.Interface.
func (q *classQueue) Push(x any) {
	f := x.(*flow)
	f.index = len(q.flows)
	q.flows = append(q.flows, f)
}

// Pop implements heap.Interface.
func (q *classQueue) Pop() any {
	f := q.flows[len(q.flows)-1]
	q.flows[len(q.flows)-1] = nil
	q.flows = q.flows[:len(q.flows)-1]
	f.index = -1
	return f
}

// activate makes a flow with queued work eligible. A flow that was idle or
// blocked starts at the current virtual time and gains no credit for the past.
func (q *classQueue) activate(f *flow) {
	if f.index >= 0 || f.queue.size == 0 {
		return
	}
	f.start = math.Max(q.virtual, f.finish)
	heap.Push(q, f)
}

func (q *classQueue) deactivate(f *flow) {
	if f.index >= 0 {
		heap.Remove(q, f.index)
	}
}

// dispatched accounts for the head of f, which the caller has removed from the
// flow's queue.
func (q *classQueue) dispatched(f *flow, t *ticket) {
	q.virtual = math.Max(q.virtual, f.start)
	f.finish = f.start + f.cost(t)
	f.start = f.finish
	if f.queue.size == 0 {
		q.deactivate(f)
	} else if f.index >= 0 {
		heap.Fix(q, f.index)
	}
}

// deadlines is a heap of queued tickets by the latest useful start.
type deadlines []*ticket

func (d deadlines) Len() int { return len(d) }

func (d deadlines) Less(i, j int) bool {
	if !d[i].latestStart.Equal(d[j].latestStart) {
		return d[i].latestStart.Before(d[j].latestStart)
	}
	return d[i].id < d[j].id
}

func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].due, d[j].due = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	t := x.(*ticket)
	t.due = len(*d)
	*d = append(*d, t)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	t.due = -1
	return t
}
