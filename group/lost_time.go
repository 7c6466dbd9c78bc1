package group

import (
	"time"

	"github.com/bluebellfield/bluebellfield/membership"
)

// LostTime is the capacity that a service lost to one cause in the failure
// domain.
type LostTime struct {
	Service string
	Cause   Cause
	// Downtime is the time during which demanded groups did not serve, in
	// group-seconds.
	Downtime float64
	// Stranded is the time during which accelerators of reporting instances were
	// in no serving group, in accelerator-seconds.
	Stranded float64
}

type lostTimeKey struct {
	service string
	cause   Cause
}

type lostTimes map[lostTimeKey]*LostTime

func (t lostTimes) at(service string, cause Cause) *LostTime {
	k := lostTimeKey{service, cause}
	if t[k] == nil {
		t[k] = &LostTime{Service: service, Cause: cause}
	}
	return t[k]
}

// LostTimes returns the totals since the controller was created, sorted by
// service and cause.
func (c *Controller) LostTimes() []LostTime {
	list := make([]LostTime, 0, len(c.lostTime))
	for _, lost := range c.lostTime {
		list = append(list, *lost)
	}
	sortLostTimes(list)
	return list
}

// accountLostTime adds the time since the previous decision to the totals.
func (c *Controller) accountLostTime(previous time.Time) {
	if previous.IsZero() {
		return
	}
	seconds := c.now.Sub(previous).Seconds()
	for _, d := range c.settings.Demands {
		c.accountDowntime(d, seconds)
	}
	for _, id := range c.observedIDs {
		o := c.observations[id]
		if !c.fresh(o, c.now) {
			continue
		}
		if service, cause := c.strandedCause(o); cause != CauseNone {
			c.lostTime.at(service, cause).Stranded += seconds * float64(o.Accelerators)
		}
	}
}

// accountDowntime attributes each missing group of a demand to the cause of an
// existing group that does not serve, or else to CauseCapacity.
func (c *Controller) accountDowntime(d Demand, seconds float64) {
	missing := d.Groups
	var causes []Cause
	for _, g := range c.state.sortedGroups() {
		if g.Service != d.Service || g.Model != d.Model {
			continue
		}
		if cause := c.causes[g.ID]; cause == CauseNone || cause == CauseSlow {
			missing--
		} else {
			causes = append(causes, cause)
		}
	}
	for n := range max(missing, 0) {
		cause := CauseCapacity
		if n < len(causes) {
			cause = causes[n]
		}
		c.lostTime.at(d.Service, cause).Downtime += seconds
	}
}

// strandedCause returns the service of an instance, if any, and the cause why it
// is in no serving group. The cause is CauseNone if its group serves.
func (c *Controller) strandedCause(o *Observation) (string, Cause) {
	i := c.state.Instances[o.ID]
	switch {
	case i != nil && i.Group != "":
		g := c.state.Groups[i.Group]
		if cause := c.causes[g.ID]; cause != CauseSlow {
			return g.Service, cause
		}
		return g.Service, CauseNone
	case i != nil && i.Releasing:
		return "", CauseRelease
	case o.State != membership.Ready:
		return "", CauseLeaving
	case c.heldOff(i):
		return "", CauseHoldOff
	}
	return "", CauseSpare
}
