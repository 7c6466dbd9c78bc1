package group

import (
	"time"

	"github.com/bluebellfield/bluebellfield/membership"
)

// Account is the time lost by one cause at a service of the failure domain.
type Account struct {
	Service string
	Cause   Cause
	// Downtime is in group-seconds: demanded groups that did not serve.
	Downtime float64
	// Stranded is in accelerator-seconds: accelerators of heard instances that
	// are in no serving group.
	Stranded float64
}

type accountKey struct {
	service string
	cause   Cause
}

type accounts map[accountKey]*Account

func (a accounts) at(service string, cause Cause) *Account {
	k := accountKey{service, cause}
	if a[k] == nil {
		a[k] = &Account{Service: service, Cause: cause}
	}
	return a[k]
}

// Accounts returns the sums since the controller's start, by service and cause.
func (c *Controller) Accounts() []Account {
	list := make([]Account, 0, len(c.accounts))
	for _, a := range c.accounts {
		list = append(list, *a)
	}
	sortAccounts(list)
	return list
}

// account adds the time since the last decision to the sums.
func (c *Controller) account(before time.Time) {
	if before.IsZero() {
		return
	}
	seconds := c.now.Sub(before).Seconds()
	for _, d := range c.settings.Demands {
		c.accountDowntime(d, seconds)
	}
	for _, id := range c.sortedIDs {
		o := c.obs[id]
		if !c.fresh(o, c.now) {
			continue
		}
		if service, cause := c.strandedBy(o); cause != CauseNone {
			c.accounts.at(service, cause).Stranded += seconds * float64(o.Accelerators)
		}
	}
}

// accountDowntime charges each missing group of a demand to the cause of a
// group that does not serve, or to the lack of capacity.
func (c *Controller) accountDowntime(d Demand, seconds float64) {
	missing := d.Groups
	var causes []Cause
	for _, g := range c.state.sorted() {
		if g.Service != d.Service || g.Model != d.Model {
			continue
		}
		if cause := c.unwell[g.ID]; cause == CauseNone || cause == CauseSlow {
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
		c.accounts.at(d.Service, cause).Downtime += seconds
	}
}

// strandedBy returns why an instance is in no serving group.
func (c *Controller) strandedBy(o *Observation) (string, Cause) {
	i := c.state.Instances[o.ID]
	switch {
	case i != nil && i.Group != "":
		g := c.state.Groups[i.Group]
		if cause := c.unwell[g.ID]; cause != CauseSlow {
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
