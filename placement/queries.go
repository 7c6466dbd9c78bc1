package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/bluebellfield/bluebellfield/enginemodel"
	"github.com/bluebellfield/bluebellfield/fleet"
)

// Models returns the models of the service.
func (p *Planner) Models() []enginemodel.Model { return p.cfg.Engine.Models }

// ServiceTime returns the time that a fully used copy spends on a request with
// the given token counts, or zero for an unknown model.
func (p *Planner) ServiceTime(model string, prompt, answer int) time.Duration {
	m := p.cfg.Engine.Model(model)
	if m == nil {
		return 0
	}
	return p.cfg.Engine.ServiceTime(m, prompt, answer)
}

// Summary counts the groups by model and stage, for logs and metrics.
func (p *Planner) Summary() map[string]map[string]int {
	counts := map[string]map[string]int{}
	for _, g := range p.groups {
		if counts[g.model.Name] == nil {
			counts[g.model.Name] = map[string]int{}
		}
		counts[g.model.Name][g.stage.String()]++
	}
	return counts
}

// WithdrawnGroups returns the names of the groups that must not receive requests
// although their heads may still report them as open, sorted by name.
func (p *Planner) WithdrawnGroups() []string {
	var names []string
	for name, g := range p.groups {
		if g.stage == closing || g.stage == isolating || g.stage == settling {
			names = append(names, name)
		}
	}
	for name := range p.retired {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// PendingGroup describes a group that no longer serves and whose engines are not
// free yet, for logs.
type PendingGroup struct {
	Group string `json:"group"`
	Stage string `json:"stage"`
	// Millis is the time since the group entered the stage.
	Millis int64 `json:"ms"`
	// HeadMillis is the age of the last report of the head, or -1 if the head is
	// unknown.
	HeadMillis int64 `json:"headMs"`
	// Unreachable is set if the head did not answer the last probe.
	Unreachable bool `json:"unreachable,omitempty"`
}

// PendingGroups returns the groups that no longer serve and whose engines are
// not free yet, sorted by name.
func (p *Planner) PendingGroups(now time.Time) []PendingGroup {
	var all []PendingGroup
	for _, g := range p.groups {
		if g.stage != closing && g.stage != isolating && g.stage != settling {
			continue
		}
		pending := PendingGroup{Group: g.name, Stage: g.stage.String(), Millis: now.Sub(g.stageSince).Milliseconds(), HeadMillis: -1}
		if head := p.engines[g.head()]; head != nil {
			pending.HeadMillis, pending.Unreachable = now.Sub(head.ReceivedAt).Milliseconds(), !head.unreachable.IsZero()
		}
		all = append(all, pending)
	}
	slices.SortFunc(all, func(a, b PendingGroup) int { return strings.Compare(a.Group, b.Group) })
	return all
}

// States of engines without a group, for logs.
const (
	engineFree    = "free"
	engineLoading = "loading"
	// engineAbsent engines are draining, unreachable or silent.
	engineAbsent = "absent"
)

// Engines counts the engines by model and stage of their group, and those without
// a group by state under the model "", for logs.
func (p *Planner) Engines(now time.Time) map[string]map[string]int {
	counts := map[string]map[string]int{}
	add := func(model, state string) {
		if counts[model] == nil {
			counts[model] = map[string]int{}
		}
		counts[model][state]++
	}
	for _, e := range p.engines {
		switch {
		case e.group != nil:
			add(e.group.model.Name, e.group.stage.String())
		case e.Phase == fleet.Gone:
		case !p.usable(now, e):
			add("", engineAbsent)
		case e.staging != "":
			add("", engineLoading)
		default:
			add("", engineFree)
		}
	}
	return counts
}

// Free counts the free engines by fabric domain and staged model, for logs.
func (p *Planner) Free(now time.Time) map[string]map[string]int {
	counts := map[string]map[string]int{}
	for domain, engines := range p.free(now) {
		counts[domain] = map[string]int{}
		for _, e := range engines {
			staged := "none"
			if len(e.Staged) > 0 {
				staged = e.Staged[len(e.Staged)-1]
			}
			if e.staging != "" {
				staged = "loading " + e.staging
			}
			counts[domain][staged]++
		}
	}
	return counts
}
