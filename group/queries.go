package group

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/bluebellfield/bluebellfield/membership"
)

const (
	// maxLosses limits the hold-off of a flapping instance.
	maxLosses = 10
	// lossHalfLife is the time after which half of the losses are forgiven.
	lossHalfLife = time.Hour
)

func (r Result) encode() ([]byte, error) { return json.Marshal(r) }

// decayedLosses returns the losses of an instance that still count at a time.
func decayedLosses(i *Instance, at int64) int {
	halves := (at - i.LostAt) / lossHalfLife.Milliseconds()
	if halves < 0 {
		return i.Losses
	}
	return i.Losses >> min(halves, 62)
}

// sorted returns the groups by id.
func (s *State) sorted() []*Group {
	list := make([]*Group, 0, len(s.Groups))
	for _, g := range s.Groups {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *Group) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Check returns the violations of the state's invariants; it is empty for any
// state that Apply produced.
func (s *State) Check() []string {
	var found []string
	owner := map[string]string{}
	for _, g := range s.sorted() {
		for _, m := range g.Members {
			if other, ok := owner[m.ID]; ok {
				found = append(found, "instance "+m.ID+" is in groups "+other+" and "+g.ID)
			}
			owner[m.ID] = g.ID
			if i := s.Instances[m.ID]; i == nil || i.Group != g.ID || i.Releasing {
				found = append(found, "instance "+m.ID+" does not name its group "+g.ID)
			}
		}
	}
	for id, i := range s.Instances {
		if i.Group != "" && owner[id] != i.Group {
			found = append(found, "instance "+id+" names group "+i.Group+" that does not name it")
		}
	}
	slices.Sort(found)
	return found
}

// Servable is a group that an entry may dispatch to.
type Servable struct {
	Group *Group
	// Leader is the member of rank 0, which takes the requests.
	Leader *membership.Upstream
	// Confirmed is the time of the oldest confirmation among the members.
	Confirmed time.Time
}

// Servable returns the groups whose members all confirm their membership with
// reports younger than the age bound, sorted by id. A group may be servable
// before the log says so, and stays servable while the log has no majority.
func (s *State) Servable(view *membership.View, now time.Time) []Servable {
	var list []Servable
	for _, g := range s.sorted() {
		if v, ok := g.Servable(view, now); ok {
			list = append(list, v)
		}
	}
	return list
}

// Servable decides for one group. Call it again before each dispatch: the
// answer changes with time alone.
func (g *Group) Servable(view *membership.View, now time.Time) (Servable, bool) {
	if g.Phase == Draining || len(g.Members) == 0 {
		return Servable{}, false
	}
	result := Servable{Group: g}
	for rank, m := range g.Members {
		u := view.Get(m.ID)
		if u == nil || u.Incarnation != m.Incarnation || !view.Dispatchable(u, now) ||
			u.InForce != (membership.GroupRef{Group: g.ID, Epoch: g.Epoch, Rank: rank}) {
			return Servable{}, false
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

func sortAccounts(list []Account) {
	slices.SortFunc(list, func(a, b Account) int {
		if n := strings.Compare(a.Service, b.Service); n != 0 {
			return n
		}
		return strings.Compare(string(a.Cause), string(b.Cause))
	})
}
