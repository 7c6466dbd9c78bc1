package group

import (
	"slices"
	"time"

	"github.com/bluebellfield/bluebellfield/membership"
)

// Observation is what the leader knows of one model engine.
type Observation struct {
	ID           string
	Incarnation  uint64
	Address      string
	FabricDomain string
	Accelerators int
	Fencing      bool
	State        membership.State
	InForce      membership.GroupRef
	Models       []membership.Model
	// ReportedAt is the time of the last report, zero without one.
	ReportedAt time.Time
	// Idle says that no request runs or waits.
	Idle bool
	// Slowdown is the part of its speed that the engine has lost, 0 to 1.
	Slowdown float64
}

// Observe returns the model engines of a failure domain in a View, by id. An
// engine counts as one that rejects old fencing numbers only when it announces
// so; mayFence lets settings overrule that for a service.
func Observe(view *membership.View, failureDomain string, mayFence func(*membership.Upstream) bool) []Observation {
	var list []Observation
	for _, u := range view.All() {
		if u.Kind != membership.ModelEngine || u.FailureDomain != failureDomain {
			continue
		}
		at, ok := u.Reported()
		if !ok {
			at = time.Time{}
		}
		load := u.Load()
		list = append(list, Observation{
			ID: u.ID, Incarnation: u.Incarnation, Address: u.Address, FabricDomain: u.FabricDomain,
			Accelerators: u.Accelerators, Fencing: u.Features.Fencing && (mayFence == nil || mayFence(u)),
			State: u.State, InForce: u.InForce, Models: u.Models, ReportedAt: at,
			Idle: load.Running == 0 && load.Queued == 0,
		})
	}
	return list
}

func (o *Observation) has(m membership.Model) bool { return slices.Contains(o.Models, m) }

func (o *Observation) candidate() Candidate {
	return Candidate{ID: o.ID, Incarnation: o.Incarnation, FabricDomain: o.FabricDomain, Fencing: o.Fencing}
}

// sighting is what the controller remembers of an instance between decisions.
type sighting struct {
	at           time.Time
	incarnation  uint64
	fabric       string
	accelerators int
	// freeSince is the time from which every observation showed no group.
	freeSince time.Time
	free      bool
}

// look updates the memory of instances and the history of absences.
func (c *Controller) look(now time.Time, observed []Observation) {
	clear(c.obs)
	c.sortedIDs = c.sortedIDs[:0]
	for i := range observed {
		o := &observed[i]
		c.obs[o.ID] = o
		c.sortedIDs = append(c.sortedIDs, o.ID)
		if !c.fresh(o, now) {
			continue
		}
		s := c.seen[o.ID]
		if s == nil {
			s = &sighting{}
			c.seen[o.ID] = s
		} else if gap := o.ReportedAt.Sub(s.at); o.Incarnation > s.incarnation || gap > c.cfg.AgeBound {
			c.noteAbsence(o, s, gap)
		}
		free := o.InForce.Group == ""
		if free && (!s.free || o.Incarnation != s.incarnation) {
			s.freeSince = now
		}
		s.at, s.incarnation, s.fabric, s.accelerators, s.free = o.ReportedAt, o.Incarnation, o.FabricDomain, o.Accelerators, free
	}
	for id, s := range c.seen {
		if now.Sub(s.at) > c.cfg.ForgetAfter {
			delete(c.seen, id)
		}
	}
}

// noteAbsence adds the end of an absence to the history. A dark fabric domain
// says nothing about single instances.
func (c *Controller) noteAbsence(o *Observation, s *sighting, gap time.Duration) {
	if !c.darkSince[s.fabric].IsZero() {
		return
	}
	if o.Incarnation > s.incarnation {
		gap = neverReturns
	}
	c.history = append(c.history, gap)
	if len(c.history) > maxHistory {
		c.history = c.history[1:]
	}
}

func (c *Controller) fresh(o *Observation, now time.Time) bool {
	return o != nil && !o.ReportedAt.IsZero() && now.Sub(o.ReportedAt) < c.cfg.AgeBound
}

// lookFabrics finds the fabric domains of which most instances are absent.
func (c *Controller) lookFabrics(now time.Time, s *State) {
	known, absent := map[string]int{}, map[string]int{}
	for id, seen := range c.seen {
		away := now.Sub(seen.at) >= c.cfg.AgeBound
		if i := s.Instances[id]; i == nil || away && i.Group == "" && i.Releasing {
			continue // replaced instances may be gone for good
		}
		known[seen.fabric]++
		if away {
			absent[seen.fabric]++
		}
	}
	for f, n := range known {
		dark := absent[f] >= minDark && absent[f]*2 > n
		if !dark {
			delete(c.darkSince, f)
		} else if c.darkSince[f].IsZero() {
			c.darkSince[f] = now
		}
	}
}
