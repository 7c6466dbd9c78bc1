package entry

import (
	"slices"
	"strings"

	"github.com/bluebellfield/bluebellfield/catalog"
	"github.com/bluebellfield/bluebellfield/enginemodel"
	"github.com/bluebellfield/bluebellfield/fleet"
)

// view is what requests are served by. It is immutable.
type view struct {
	catalog  *catalog.Catalog
	services map[string]*serviceTargets
	entries  int
}

// serviceTargets are the upstreams of a service that may receive requests.
type serviceTargets struct {
	// plain lists the upstreams of a service without engines.
	plain []*target
	// groups lists the heads of open groups by model.
	groups map[string][]*target
}

// candidates returns the targets for a model, or the plain ones.
func (s *serviceTargets) candidates(model string, engine *enginemodel.Engine) []*target {
	switch {
	case s == nil:
		return nil
	case engine == nil:
		return s.plain
	}
	return s.groups[model]
}

// buildView sorts the upstreams into targets; targets that are known keep
// their load and history.
func buildView(content *catalog.Catalog, upstreams []fleet.Upstream, known map[targetKey]*target, entries int) *view {
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
			s.plain = append(s.plain, targetOf(known, u))
		case u.Member.Rank == 0 && u.Member.State == fleet.Open && u.Model != "":
			s.groups[u.Model] = append(s.groups[u.Model], targetOf(known, u))
		}
	}
	return v
}

func targetOf(known map[targetKey]*target, u *fleet.Upstream) *target {
	key := keyOf(u)
	t := known[key]
	if t == nil {
		t = &target{upstream: *u, model: u.Model}
		known[key] = t
	}
	return t
}

// prune drops targets that no view uses and that have no request in flight.
func prune(known map[targetKey]*target, upstreams []fleet.Upstream) {
	current := make(map[targetKey]bool, len(upstreams))
	for i := range upstreams {
		current[keyOf(&upstreams[i])] = true
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

// distinct sorts ids and drops repeated ones, so that choices among them are
// stable.
func distinct(ids []string) []string {
	sorted := slices.Clone(ids)
	slices.SortFunc(sorted, strings.Compare)
	return slices.Compact(sorted)
}
