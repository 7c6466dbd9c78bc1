package group

import (
	"slices"
	"time"

	"github.com/bluebellfield/bluebellfield/membership"
)

// Observation is the leader's current view of one model engine.
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
	// ReportedAt is the time of the last report, or zero if there was none.
	ReportedAt time.Time
	// Idle reports whether the engine has no running and no queued request.
	Idle bool
	// Slowdown is the fraction of its normal speed that the engine has lost, from
	// 0 to 1.
	Slowdown float64
}

// Observe returns the model engines of a failure domain in a View, sorted by
// id. Fencing is set only for engines that announce it and for which mayFence
// returns true; through mayFence, settings can disable it for a service.
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

// instanceRecord is what the controller keeps of an instance between decisions.
type instanceRecord struct {
	reportedAt   time.Time
	incarnation  uint64
	fabric       string
	accelerators int
	// freeSince is the start of the current period in which the instance reported
	// no group.
	freeSince time.Time
	free      bool
}

// recordObservations updates the instance records and the history of absences.
func (c *Controller) recordObservations(now time.Time, observed []Observation) {
	clear(c.observations)
	c.observedIDs = c.observedIDs[:0]
	for i := range observed {
		o := &observed[i]
		c.observations[o.ID] = o
		c.observedIDs = append(c.observedIDs, o.ID)
		if !c.fresh(o, now) {
			continue
		}
		record := c.records[o.ID]
		if record == nil {
			record = &instanceRecord{}
			c.records[o.ID] = record
		} else if gap := o.ReportedAt.Sub(record.reportedAt); o.Incarnation > record.incarnation || gap > c.cfg.AgeBound {
			c.recordAbsence(o, record, gap)
		}
		free := o.InForce.Group == ""
		if free && (!record.free || o.Incarnation != record.incarnation) {
			record.freeSince = now
		}
		record.reportedAt, record.incarnation, record.fabric, record.accelerators, record.free = o.ReportedAt, o.Incarnation, o.FabricDomain, o.Accelerators, free
	}
	for id, record := range c.records {
		if now.Sub(record.reportedAt) > c.cfg.ForgetAfter {
			delete(c.records, id)
		}
	}
}

// recordAbsence adds an absence that has ended to the history. Absences during
// a fabric outage are left out because they say nothing about single instances.
func (c *Controller) recordAbsence(o *Observation, record *instanceRecord, gap time.Duration) {
	if !c.fabricDownSince[record.fabric].IsZero() {
		return
	}
	if o.Incarnation > record.incarnation {
		gap = neverReturned
	}
	c.absences = append(c.absences, gap)
	if len(c.absences) > maxAbsences {
		c.absences = c.absences[1:]
	}
}

// fresh reports whether the observation is younger than the age bound.
func (c *Controller) fresh(o *Observation, now time.Time) bool {
	return o != nil && !o.ReportedAt.IsZero() && now.Sub(o.ReportedAt) < c.cfg.AgeBound
}

// detectFabricOutages records since when most instances of a fabric domain are
// absent.
func (c *Controller) detectFabricOutages(now time.Time, s *State) {
	known, absent := map[string]int{}, map[string]int{}
	for id, record := range c.records {
		isAbsent := now.Sub(record.reportedAt) >= c.cfg.AgeBound
		if i := s.Instances[id]; i == nil || isAbsent && i.Group == "" && i.Releasing {
			continue // not in the log, or replaced and possibly gone for good
		}
		known[record.fabric]++
		if isAbsent {
			absent[record.fabric]++
		}
	}
	for f, n := range known {
		down := absent[f] >= minFabricAbsences && absent[f]*2 > n
		if !down {
			delete(c.fabricDownSince, f)
		} else if c.fabricDownSince[f].IsZero() {
			c.fabricDownSince[f] = now
		}
	}
}
