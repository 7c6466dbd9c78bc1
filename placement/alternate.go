package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellfield/bluebellfield/enginemodel"
	"github.com/bluebellfield/bluebellfield/fleet"
)

// stageAlternates stages a second model on the hosts of group members. The
// weights of a member's own model stay in its memory, so that it can then join a
// group of either model without loading from the weight store. This happens only
// before the first traffic, when loads are fast and not limited: later, an engine
// that holds no model gains more from a load than one that already serves.
func (p *Planner) stageAlternates(now time.Time) {
	if !p.coldStart(now) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(p.engines)) {
		e := p.engines[id]
		if e.group == nil || e.group.stage != serving || !e.reportsGroup(e.group) || e.Phase != fleet.Ready || e.staging != "" || now.Before(e.nextStageAt) {
			continue
		}
		if m := p.alternate(e); m != nil {
			p.stage(now, e, m, "alternate model of a member", 0)
		}
	}
}

// alternate returns the model with the highest demand per copy that a member does
// not serve, or nil if its host already holds one.
func (p *Planner) alternate(e *engine) *enginemodel.Model {
	var best *enginemodel.Model
	for _, m := range p.modelsByDemand() {
		switch {
		case m == e.group.model:
		case e.Has(m.Name):
			return nil
		case best == nil:
			best = m
		}
	}
	return best
}
