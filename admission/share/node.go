package share

import (
	"sort"
	"time"
)

// Node is the part of one daemon in sharing limits: it holds leases when the
// daemon is an entry, and grants them for the limits that it owns. It is not
// safe for concurrent use.
type Node struct {
	cfg     Config
	started time.Time
	// entries are the known entries, sorted, whether reachable or not.
	entries     []string
	entryHashes []uint64
	isEntry     bool
	owners      []string
	ownerHashes []uint64
	limits      map[LimitID]*held
	ordered     []*held // by id
	out         map[string]*ownerLink
	links       []*ownerLink // by owner id
	peers       map[string]*peer
	owned       map[LimitID]*ownedLimit
}

// held is what an entry knows of one limit.
type held struct {
	limit  Limit
	owner  string
	since  time.Time // when owner became the only owner in this entry's view
	demand Demand
	wanted time.Time // of the last demand over zero
	lease  lease
	// refused is the send time of the last report that the owner answered
	// without authority.
	refused time.Time
}

// lease is a granted share.
type lease struct {
	from    string
	share   float64
	expires time.Time
}

// ownerLink is an entry's exchange with one owner.
type ownerLink struct {
	id string
	// limits are those that the owner has, by id.
	limits           []*held
	incarnation, ack uint64
	seq              uint64
	sent             []sentReport
	contact          time.Time // send time of the last report that was answered
	next             time.Time // of the next report
	setKnown         bool      // the owner answered without asking for the set
	setDigest        uint64
	set              []LimitID
}

// sentReport remembers what a grant will answer.
type sentReport struct {
	seq   uint64
	at    time.Time
	items []LimitID
}

// maxOutstanding bounds the unanswered reports that are remembered per owner.
const maxOutstanding = 8

// New returns a node without limits and peers.
func New(cfg Config, now time.Time) *Node {
	return &Node{
		cfg:     cfg.withDefaults(),
		started: now,
		limits:  map[LimitID]*held{},
		out:     map[string]*ownerLink{},
		peers:   map[string]*peer{},
		owned:   map[LimitID]*ownedLimit{},
	}
}

// SetView replaces the live daemons, among which owners are chosen, and the
// known entries. An entry that is unreachable stays known until the deployment
// no longer has it: it still uses its guaranteed part.
func (n *Node) SetView(now time.Time, live, entries []string) {
	n.owners = candidates(live, n.cfg.MaxOwners)
	n.ownerHashes = hashAll(n.owners)
	n.entries = append([]string(nil), entries...)
	sort.Strings(n.entries)
	n.entryHashes = hashAll(n.entries)
	i := sort.SearchStrings(n.entries, n.cfg.ID)
	n.isEntry = i < len(n.entries) && n.entries[i] == n.cfg.ID
	for _, h := range n.ordered {
		n.assign(now, h)
	}
	n.relink(now)
}

// assign sets the owner of a limit in this node's view.
func (n *Node) assign(now time.Time, h *held) {
	if o := owner(h.limit.ID, n.owners, n.ownerHashes); o != h.owner || h.since.IsZero() {
		h.owner, h.since, h.refused = o, now, time.Time{}
	}
}

// relink keeps a link to each owner of a limit.
func (n *Node) relink(now time.Time) {
	used := map[string]bool{}
	for _, h := range n.ordered {
		used[h.owner] = true
	}
	for _, o := range n.owners {
		if used[o] && n.out[o] == nil {
			n.out[o] = &ownerLink{id: o, next: now}
		}
	}
	n.links = n.links[:0]
	for id, l := range n.out {
		l.limits = l.limits[:0]
		if !used[id] {
			// Report numbers must not repeat within an incarnation, so the link
			// is kept, without being reported to.
			continue
		}
		n.links = append(n.links, l)
	}
	sort.Slice(n.links, func(i, j int) bool { return n.links[i].id < n.links[j].id })
	for _, h := range n.ordered {
		if l := n.out[h.owner]; l != nil {
			l.limits = append(l.limits, h)
		}
	}
}

// SetLimits replaces the limits in force.
func (n *Node) SetLimits(now time.Time, limits []Limit) {
	seen := make(map[LimitID]bool, len(limits))
	for _, l := range limits {
		seen[l.ID] = true
		h := n.limits[l.ID]
		if h == nil {
			h = &held{}
			n.limits[l.ID] = h
		}
		h.limit = l
		n.assign(now, h)
	}
	n.ordered = n.ordered[:0]
	for id, h := range n.limits {
		if seen[id] {
			n.ordered = append(n.ordered, h)
		} else {
			delete(n.limits, id)
		}
	}
	sort.Slice(n.ordered, func(i, j int) bool { return n.ordered[i].limit.ID < n.ordered[j].limit.ID })
	// A limit that returns within a lease finds what was granted before.
	for id, o := range n.owned {
		if !seen[id] && o.computed.Add(2*n.cfg.stretch(n.cfg.Lease)).Before(now) {
			delete(n.owned, id)
		}
	}
	n.relink(now)
}

// SetLimit changes the value of one limit, such as the slots of a service.
func (n *Node) SetLimit(now time.Time, l Limit) {
	if h := n.limits[l.ID]; h != nil {
		h.limit = l
		return
	}
	h := &held{limit: l}
	n.limits[l.ID] = h
	n.assign(now, h)
	i := sort.Search(len(n.ordered), func(i int) bool { return n.ordered[i].limit.ID >= l.ID })
	n.ordered = append(n.ordered, nil)
	copy(n.ordered[i+1:], n.ordered[i:])
	n.ordered[i] = h
	n.relink(now)
}

// SetDemand sets what this entry could use of a limit. Demand for a limit
// without a lease is reported at the next Tick instead of the next period.
func (n *Node) SetDemand(now time.Time, id LimitID, d Demand) {
	h := n.limits[id]
	if h == nil {
		return
	}
	h.demand = d
	if d.Paying+d.Free+d.Used <= 0 {
		return
	}
	h.wanted = now
	if l := n.out[h.owner]; l != nil && !now.Before(h.lease.expires) && !n.asked(l, id) {
		l.next = now
	}
}

// asked returns whether an unanswered report already carries a limit.
func (n *Node) asked(l *ownerLink, id LimitID) bool {
	for _, s := range l.sent {
		for _, item := range s.items {
			if item == id {
				return true
			}
		}
	}
	return false
}

// Local returns what this entry may use of a limit now. A limit that is not in
// force has no allowance.
func (n *Node) Local(now time.Time, id LimitID) Allowance {
	h := n.limits[id]
	switch {
	case h == nil:
		return Allowance{}
	case now.Before(h.lease.expires):
		return Allowance{Value: h.lease.share + n.starter(h.limit), Source: Leased}
	case n.inContact(now, h):
		return Allowance{Value: n.starter(h.limit), Source: Starter}
	}
	return Allowance{Value: n.guaranteed(h.limit), Source: Guaranteed}
}

// inContact returns whether the owner of a limit answers and may have leased
// the limit to others.
func (n *Node) inContact(now time.Time, h *held) bool {
	l := n.out[h.owner]
	if l == nil || l.contact.IsZero() || now.Sub(l.contact) >= n.cfg.Lease {
		return false
	}
	return h.refused.IsZero() || now.Sub(h.refused) >= n.cfg.Lease
}

func (n *Node) starter(l Limit) float64 {
	if l.Kind.whole() {
		return 0
	}
	return l.Value * starterFraction / float64(max(1, len(n.entries)))
}

// guaranteed is this entry's part when no owner grants leases. Whole numbers
// give the remainder to the entries that rank first for the limit.
func (n *Node) guaranteed(l Limit) float64 {
	if !n.isEntry {
		return 0
	}
	count := len(n.entries)
	if !l.Kind.whole() {
		return l.Value / float64(count)
	}
	whole := int(l.Value)
	part := whole / count
	if rank(l.ID, n.cfg.ID, n.entries, n.entryHashes) < whole%count {
		part++
	}
	return float64(part)
}
