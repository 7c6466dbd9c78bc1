package admission

import (
	"math"
	"time"
)

// Controller admits, queues and refuses the requests of one entry. It is not
// safe for concurrent use.
type Controller struct {
	opts       Options
	lastTicket Ticket
	tickets    map[Ticket]*ticket
	accounts   map[string]*account
	services   map[string]*service
	order      []*service // in order of creation, for deterministic iteration
	due        deadlines
	parked     []*flow    // flows that wait for a token bucket
	late       []Rejected // refused by Next, reported by Expire
	sequence   int
}

// account is the work of a client account over all services.
type account struct {
	id    string
	rules Rules // as last seen, without AtService
	known bool
	// removed is set while dispatched requests outlive the account.
	removed bool
	gate    gate
	flows   []*flow
}

// service is the work for one service.
type service struct {
	id       string
	rules    ServiceRules
	capacity Capacity
	queues   [classes]classQueue
	flows    map[string]*flow
	ordered  []*flow
	freeRun  list // running free work, oldest first
	yielding int
	// meanRun is a moving average of run times, for Retry-After.
	meanRun time.Duration
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
		c.order = append(c.order, s)
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
		f = &flow{seq: c.sequence, service: s, account: a, class: class, index: -1}
		c.sequence++
		s.flows[a.id] = f
		s.ordered = append(s.ordered, f)
		a.flows = append(a.flows, f)
	}
	return f
}

// share returns the number of slots that are this entry's.
func (s *service) share() float64 {
	share := s.capacity.Share
	if share < 0 {
		share = float64(s.capacity.Slots) / float64(max(1, s.capacity.Entries))
	}
	if s.capacity.Slots > 0 {
		// A share under one slot would leave an entry with demand without any.
		share = math.Max(1, share)
	}
	return share
}

// limit returns how much work of this entry may be on the upstreams. Reports
// that show idle slots let every entry take its part of them beyond its share.
func (c *Controller) limit(s *service) int {
	share := s.share()
	if s.capacity.Priorities {
		share += math.Ceil(share * c.opts.Backlog)
	} else {
		// One request more at each of many entries with small shares would
		// double the work and put paying work behind it, so it is not rounded up.
		share += math.Round(share * c.opts.BacklogInOrder)
	}
	idle := (s.capacity.Slots - s.capacity.Load) / max(1, s.capacity.Entries)
	if idle <= 0 {
		// Work beyond the share, left from a time with idle slots or a larger
		// share, is not replaced as it ends.
		return int(share)
	}
	return max(int(share), s.capacity.OwnInLoad+idle)
}

// room returns how many more requests of a class may be dispatched.
func (c *Controller) room(s *service, class Class) int {
	limit := c.limit(s)
	paying, free := s.queues[Paying].running, s.queues[Free].running
	switch {
	case s.capacity.Slots <= 0:
		return 0
	case class == Free && s.capacity.Priorities:
		return max(0, limit-paying-free)
	case class == Free:
		return max(0, limit-int(math.Ceil(s.share()*c.opts.PayingReserve))-paying-free)
	case s.capacity.Priorities:
		// The upstreams run paying work first, so free work is not in its way.
		return max(0, limit-paying)
	default:
		return max(0, limit-paying-free)
	}
}
