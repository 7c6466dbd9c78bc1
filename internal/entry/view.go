package entry

import (
	"slices"
	"strings"

	"github.com/bluebellfield/bluebellfield/catalog"
	"github.com/bluebellfield/bluebellfield/enginemodel"
	"github.com/bluebellfield/bluebellfield/fleet"
)

// view is an immutable snapshot of the catalog and the targets by which
// requests are routed.
type view struct {
	catalog  *catalog.Catalog
	services map[string]*serviceTargets
	entries  int
}

// serviceTargets holds the targets of a service that accept requests.
type serviceTargets struct {
	// plain lists the targets of a service without engines.
	plain []*target
	// groups lists the heads of open groups by model.
	groups map[string][]*target
}

// forModel returns the targets that serve a model, or the plain targets of a
// service without engines.
func (s *serviceTargets) forModel(model string, engine *enginemodel.Engine) []*target {
	switch {
	case s == nil:
		return nil
	case engine == nil:
		return s.plain
	}
	return s.groups[model]
}

// buildView groups the ready upstreams by service and model, without the groups
// that the leader has withdrawn. Known targets keep their load and history.
func buildView(content *catalog.Catalog, upstreams []fleet.Upstream, known map[targetKey]*target, withdrawn map[string]bool, entries int) *view {
	v := &view{catalog: content, services: map[string]*serviceTargets{}, entries: entries}
	for i := range upstreams {
		u := &upstreams[i]
		if u.Phase != fleet.Ready || content == nil {
			continue
		}
		service := content.Service(u.Service)
		if service == nil {
			continue
		}
		s := v.services[u.Service]
		if s == nil {
			s = &serviceTargets{groups: map[string][]*target{}}
			v.services[u.Service] = s
		}
		switch {
		case service.Engine == nil:
			s.plain = append(s.plain, getOrCreateTarget(known, u))
		case u.Member.Rank == 0 && u.Member.State == fleet.Open && u.Model != "" && !withdrawn[u.Member.Group]:
			s.groups[u.Model] = append(s.groups[u.Model], getOrCreateTarget(known, u))
		}
	}
	return v
}

// getOrCreateTarget returns the known target of an upstream, or adds a new one.
func getOrCreateTarget(known map[targetKey]*target, u *fleet.Upstream) *target {
	key := targetKeyOf(u)
	t := known[key]
	if t == nil {
		t = &target{upstream: *u, model: u.Model}
		known[key] = t
	}
	return t
}

// pruneTargets removes targets whose upstream record is gone and that have no
// request in flight.
func pruneTargets(known map[targetKey]*target, upstreams []fleet.Upstream) {
	current := make(map[targetKey]bool, len(upstreams))
	for i := range upstreams {
		current[targetKeyOf(&upstreams[i])] = true
	}
	for key, t := range known {
		t.mu.Lock()
		idle := t.tracker.InFlight == 0
		t.mu.Unlock()
		if idle && !current[key] {
			delete(known, key)
		}
	}
}

// sortedUnique returns the ids sorted and without duplicates, so that choices
// among them are stable.
func sortedUnique(ids []string) []string {
	sorted := slices.Clone(ids)
	slices.SortFunc(sorted, strings.Compare)
	return slices.Compact(sorted)
}
