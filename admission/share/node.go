package share

import (
	"sort"
	"time"
)

// Node shares limits on behalf of one daemon. It holds leases if the daemon is
// an entry, and grants leases of the limits that the daemon owns. It is not
// safe for concurrent use.
type Node struct {
	cfg     Config
	started time.Time
	// entries are the known entries, reachable or not, in sorted order.
	entries      []string
	entryHashes  []uint64
	isEntry      bool
	owners       []string
	ownerHashes  []uint64
	limits       map[LimitID]*limitState
	limitList    []*limitState // sorted by id
	linksByOwner map[string]*ownerLink
	activeLinks  []*ownerLink // links of current owners, sorted by id
	peers        map[string]*entryPeer
	ownedLimits  map[LimitID]*ownedLimit
}

// limitState is the state that a node keeps for one limit.
type limitState struct {
	limit      Limit
	owner      string
	ownerSince time.Time // when this entry began to regard owner as the only owner
	demand     Demand
	lastDemand time.Time // time of the last demand above zero
	lease      lease
	// refusedAt is when the last report was sent that the owner answered with
	// NoAuthority.
	refusedAt time.Time
}

// lease is a granted share with its expiry.
type lease struct {
	from    string
	share   float64
	expires time.Time
}

// ownerLink is the state that an entry keeps for one owner.
type ownerLink struct {
	id string
	// limits are the limits of this owner, sorted by id.
	limits                 []*limitState
	incarnation, lastGrant uint64
	lastSeq                uint64
	pendingReports         []sentReport
	lastContact            time.Time // when the last answered report was sent
	nextReport             time.Time // when the next report is due
	setAcknowledged        bool      // the owner has the current set
	setDigest              uint64
	set                    []LimitID
}

// sentReport is a report that is not answered yet. items lists its limits, in
// the order of the shares in the grant.
type sentReport struct {
	seq   uint64
	at    time.Time
	items []LimitID
}

// maxPendingReports is the maximum number of unanswered reports kept per owner,
// and of unacknowledged grants kept per entry.
const maxPendingReports = 8

// New returns a node without limits or peers.
func New(cfg Config, now time.Time) *Node {
	return &Node{
		cfg:          cfg.withDefaults(),
		started:      now,
		limits:       map[LimitID]*limitState{},
		linksByOwner: map[string]*ownerLink{},
		peers:        map[string]*entryPeer{},
		ownedLimits:  map[LimitID]*ownedLimit{},
	}
}

// SetView sets the live daemons, from which owners are chosen, and the known
// entries. An unreachable entry must stay in entries until it is removed from
// the deployment, because it still uses its guaranteed share.
func (n *Node) SetView(now time.Time, live, entries []string) {
	n.owners = selectOwners(live, n.cfg.MaxOwners)
	n.ownerHashes = hashAll(n.owners)
	n.entries = append([]string(nil), entries...)
	sort.Strings(n.entries)
	n.entryHashes = hashAll(n.entries)
	i := sort.SearchStrings(n.entries, n.cfg.ID)
	n.isEntry = i < len(n.entries) && n.entries[i] == n.cfg.ID
	for _, l := range n.limitList {
		n.assignOwner(now, l)
	}
	n.rebuildLinks(now)
}

// assignOwner updates the owner of a limit according to the current view.
func (n *Node) assignOwner(now time.Time, l *limitState) {
	if o := owner(l.limit.ID, n.owners, n.ownerHashes); o != l.owner || l.ownerSince.IsZero() {
		l.owner, l.ownerSince, l.refusedAt = o, now, time.Time{}
	}
}

// rebuildLinks updates the links after a change of limits or owners, so that
// there is an active link to the owner of each limit.
func (n *Node) rebuildLinks(now time.Time) {
	used := map[string]bool{}
	for _, state := range n.limitList {
		used[state.owner] = true
	}
	for _, o := range n.owners {
		if used[o] && n.linksByOwner[o] == nil {
			n.linksByOwner[o] = &ownerLink{id: o, nextReport: now}
		}
	}
	n.activeLinks = n.activeLinks[:0]
	for id, l := range n.linksByOwner {
		l.limits = l.limits[:0]
		if !used[id] {
			// The link is kept but inactive: report numbers must not repeat
			// within an incarnation.
			continue
		}
		n.activeLinks = append(n.activeLinks, l)
	}
	sort.Slice(n.activeLinks, func(i, j int) bool { return n.activeLinks[i].id < n.activeLinks[j].id })
	for _, state := range n.limitList {
		if l := n.linksByOwner[state.owner]; l != nil {
			l.limits = append(l.limits, state)
		}
	}
}

// SetLimits replaces all limits.
func (n *Node) SetLimits(now time.Time, limits []Limit) {
	seen := make(map[LimitID]bool, len(limits))
	for _, l := range limits {
		seen[l.ID] = true
		state := n.limits[l.ID]
		if state == nil {
			state = &limitState{}
			n.limits[l.ID] = state
		}
		state.limit = l
		n.assignOwner(now, state)
	}
	n.limitList = n.limitList[:0]
	for id, state := range n.limits {
		if seen[id] {
			n.limitList = append(n.limitList, state)
		} else {
			delete(n.limits, id)
		}
	}
	sort.Slice(n.limitList, func(i, j int) bool { return n.limitList[i].limit.ID < n.limitList[j].limit.ID })
	// A removed limit is kept until its leases have expired, so that they are
	// counted if the limit is added again.
	for id, o := range n.ownedLimits {
		if !seen[id] && o.computedAt.Add(2*n.cfg.withDriftMargin(n.cfg.Lease)).Before(now) {
			delete(n.ownedLimits, id)
		}
	}
	n.rebuildLinks(now)
}

// SetLimit adds or changes one limit, such as the slots of a service.
func (n *Node) SetLimit(now time.Time, l Limit) {
	if state := n.limits[l.ID]; state != nil {
		state.limit = l
		return
	}
	state := &limitState{limit: l}
	n.limits[l.ID] = state
	n.assignOwner(now, state)
	i := sort.Search(len(n.limitList), func(i int) bool { return n.limitList[i].limit.ID >= l.ID })
	n.limitList = append(n.limitList, nil)
	copy(n.limitList[i+1:], n.limitList[i:])
	n.limitList[i] = state
	n.rebuildLinks(now)
}

// SetDemand sets the demand of this entry for a limit. If the limit has no valid
// lease, the demand is reported at the next Tick instead of the next period.
func (n *Node) SetDemand(now time.Time, id LimitID, d Demand) {
	state := n.limits[id]
	if state == nil {
		return
	}
	state.demand = d
	if d.Paying+d.Free+d.Used <= 0 {
		return
	}
	state.lastDemand = now
	if l := n.linksByOwner[state.owner]; l != nil && !now.Before(state.lease.expires) && !n.hasPendingReport(l, id) {
		l.nextReport = now
	}
}

// hasPendingReport reports whether an unanswered report contains a limit.
func (n *Node) hasPendingReport(l *ownerLink, id LimitID) bool {
	for _, s := range l.pendingReports {
		for _, item := range s.items {
			if item == id {
				return true
			}
		}
	}
	return false
}

// LocalAllowance returns the current allowance of this entry for a limit. It is
// zero for an unknown limit.
func (n *Node) LocalAllowance(now time.Time, id LimitID) Allowance {
	state := n.limits[id]
	switch {
	case state == nil:
		return Allowance{}
	case now.Before(state.lease.expires):
		return Allowance{Value: state.lease.share + n.provisionalShare(state.limit), Source: Leased}
	case n.ownerGrantsLeases(now, state):
		return Allowance{Value: n.provisionalShare(state.limit), Source: Provisional}
	}
	return Allowance{Value: n.guaranteedShare(state.limit), Source: Guaranteed}
}

// ownerGrantsLeases reports whether the owner of a limit has answered recently
// and may therefore have leased the limit to other entries.
func (n *Node) ownerGrantsLeases(now time.Time, state *limitState) bool {
	link := n.linksByOwner[state.owner]
	if link == nil || link.lastContact.IsZero() || now.Sub(link.lastContact) >= n.cfg.Lease {
		return false
	}
	return state.refusedAt.IsZero() || now.Sub(state.refusedAt) >= n.cfg.Lease
}

// provisionalShare returns the share that this entry may use without a lease.
func (n *Node) provisionalShare(l Limit) float64 {
	if l.Kind.isInteger() {
		return 0
	}
	return l.Value * provisionalFraction / float64(max(1, len(n.entries)))
}

// guaranteedShare returns the share of this entry while no owner grants leases
// to it. The remainder of an integer limit goes to the entries that rank first
// for that limit.
func (n *Node) guaranteedShare(l Limit) float64 {
	if !n.isEntry {
		return 0
	}
	count := len(n.entries)
	if !l.Kind.isInteger() {
		return l.Value / float64(count)
	}
	units := int(l.Value)
	amount := units / count
	if rank(l.ID, n.cfg.ID, n.entries, n.entryHashes) < units%count {
		amount++
	}
	return float64(amount)
}
