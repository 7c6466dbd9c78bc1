package group

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/bluebellfield/bluebellfield/membership"
)

const (
	// maxLosses caps the loss count, and with it the hold-off, of an unstable
	// instance.
	maxLosses = 10
	// lossHalfLife is the time in which the loss count decays by half.
	lossHalfLife = time.Hour
)

func (r Result) encode() ([]byte, error) { return json.Marshal(r) }

// decayedLosses returns the loss count of an instance, decayed to the given
// time in Unix milliseconds.
func decayedLosses(i *Instance, at int64) int {
	halfLives := (at - i.LostAt) / lossHalfLife.Milliseconds()
	if halfLives < 0 {
		return i.Losses
	}
	return i.Losses >> min(halfLives, 62)
}

// sortedGroups returns the groups sorted by id.
func (s *State) sortedGroups() []*Group {
	list := make([]*Group, 0, len(s.Groups))
	for _, g := range s.Groups {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *Group) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Check returns the violated invariants of the state. The list is empty for
// every state that Apply produces.
func (s *State) Check() []string {
	var violations []string
	owner := map[string]string{}
	for _, g := range s.sortedGroups() {
		for _, m := range g.Members {
			if other, ok := owner[m.ID]; ok {
				violations = append(violations, "instance "+m.ID+" is in groups "+other+" and "+g.ID)
			}
			owner[m.ID] = g.ID
			if i := s.Instances[m.ID]; i == nil || i.Group != g.ID || i.Releasing {
				violations = append(violations, "group "+g.ID+" lists instance "+m.ID+", whose record does not name the group")
			}
		}
	}
	for id, i := range s.Instances {
		if i.Group != "" && owner[id] != i.Group {
			violations = append(violations, "record of instance "+id+" names group "+i.Group+", which does not list it")
		}
	}
	slices.Sort(violations)
	return violations
}

// ServableGroup is a group to which an entry may dispatch requests.
type ServableGroup struct {
	Group *Group
	// Leader is the member of rank 0, which receives the requests.
	Leader *membership.Upstream
	// Confirmed is the time of the oldest confirmation among the members.
	Confirmed time.Time
}

// Servable returns, sorted by id, the groups whose members all confirm their
// membership with reports younger than the age bound. It does not require the
// Serving phase: a group may be servable before the log confirms it, and stays
// servable while the log has no majority.
func (s *State) Servable(view *membership.View, now time.Time) []ServableGroup {
	var list []ServableGroup
	for _, g := range s.sortedGroups() {
		if v, ok := g.Servable(view, now); ok {
			list = append(list, v)
		}
	}
	return list
}

// Servable reports whether the group may receive requests. The result expires
// as reports age, so callers check again before each dispatch.
func (g *Group) Servable(view *membership.View, now time.Time) (ServableGroup, bool) {
	if g.Phase == Draining || len(g.Members) == 0 {
		return ServableGroup{}, false
	}
	result := ServableGroup{Group: g}
	for rank, m := range g.Members {
		u := view.Get(m.ID)
		if u == nil || u.Incarnation != m.Incarnation || !view.Dispatchable(u, now) ||
			u.InForce != (membership.GroupRef{Group: g.ID, Epoch: g.Epoch, Rank: rank}) {
			return ServableGroup{}, false
		}
		at, _ := u.Reported()
		if rank == 0 {
			result.Leader = u
		}
		if rank == 0 || at.Before(result.Confirmed) {
			result.Confirmed = at
		}
	}
	return result, true
}

func sortLostTimes(list []LostTime) {
	slices.SortFunc(list, func(a, b LostTime) int {
		if n := strings.Compare(a.Service, b.Service); n != 0 {
			return n
		}
		return strings.Compare(string(a.Cause), string(b.Cause))
	})
}
