package admission

import (
	"math"
	"time"
)

// Controller admits, queues and rejects the requests of one entry. It is not
// safe for concurrent use.
type Controller struct {
	opts              Options
	lastTicket        Ticket
	tickets           map[Ticket]*ticket
	accounts          map[string]*account
	services          map[string]*service
	serviceList       []*service // in order of creation, so that iteration is deterministic
	deadlines         deadlineHeap
	throttled         []*flow    // flows whose token bucket is empty
	pendingRejections []Rejected // returned by the next Expire
	nextFlowSeq       int
}

// account is the state of a client account over all services.
type account struct {
	id         string
	rules      Rules // last rules applied, without AtService
	configured bool
	// removed is set if the account was removed while requests were running.
	removed bool
	limiter limiter
	flows   []*flow
}

// service is the state of one service.
type service struct {
	id          string
	rules       ServiceRules
	capacity    Capacity
	queues      [classCount]classQueue
	flows       map[string]*flow
	flowList    []*flow
	runningFree ticketList // running free requests, oldest first
	preempting  int
	// meanRunTime is a moving average of run times, used for Retry-After.
	meanRunTime time.Duration
}

// New returns a controller without services, accounts or capacity.
func New(opts Options) *Controller {
	return &Controller{
		opts:     opts.withDefaults(),
		tickets:  map[Ticket]*ticket{},
		accounts: map[string]*account{},
		services: map[string]*service{},
	}
}

func (c *Controller) service(id string) *service {
	s := c.services[id]
	if s == nil {
		s = &service{id: id, rules: c.opts.Service, flows: map[string]*flow{}, capacity: Capacity{Share: -1}}
		c.services[id] = s
		c.serviceList = append(c.serviceList, s)
	}
	return s
}

func (c *Controller) account(id string) *account {
	a := c.accounts[id]
	if a == nil {
		a = &account{id: id}
		c.accounts[id] = a
	}
	return a
}

func (c *Controller) flow(s *service, a *account, class Class) *flow {
	f := s.flows[a.id]
	if f == nil {
		f = &flow{seq: c.nextFlowSeq, service: s, account: a, class: class, heapIndex: -1}
		c.nextFlowSeq++
		s.flows[a.id] = f
		s.flowList = append(s.flowList, f)
		a.flows = append(a.flows, f)
	}
	return f
}

// share returns the number of slots allotted to this entry.
func (s *service) share() float64 {
	share := s.capacity.Share
	if share < 0 {
		share = float64(s.capacity.Slots) / float64(max(1, s.capacity.Entries))
	}
	if s.capacity.Slots > 0 {
		// With less than one slot an entry could not dispatch anything.
		share = math.Max(1, share)
	}
	return share
}

// dispatchLimit returns how many requests this entry may have on the upstreams.
// Idle slots in the load reports are divided equally among the entries and may
// be used beyond the share.
func (c *Controller) dispatchLimit(s *service) int {
	share := s.share()
	if s.capacity.Priorities {
		share += math.Ceil(share * c.opts.Backlog)
	} else {
		// Not rounded up: with many entries and small shares, one more request
		// per entry would double the load that paying requests wait behind.
		share += math.Round(share * c.opts.BacklogInOrder)
	}
	idle := (s.capacity.Slots - s.capacity.Load) / max(1, s.capacity.Entries)
	if idle <= 0 {
		// Running requests may exceed the share if slots were idle or the share
		// was larger before. They are not replaced when they end.
		return int(share)
	}
	return max(int(share), s.capacity.OwnLoad+idle)
}

// availableSlots returns how many more requests of a class can be dispatched.
func (c *Controller) availableSlots(s *service, class Class) int {
	limit := c.dispatchLimit(s)
	paying, free := s.queues[Paying].running, s.queues[Free].running
	switch {
	case s.capacity.Slots <= 0:
		return 0
	case class == Free && s.capacity.Priorities:
		return max(0, limit-paying-free)
	case class == Free:
		return max(0, limit-int(math.Ceil(s.share()*c.opts.PayingReserve))-paying-free)
	case s.capacity.Priorities:
		// The upstreams run paying requests first, so free ones do not count.
		return max(0, limit-paying)
	default:
		return max(0, limit-paying-free)
	}
}
