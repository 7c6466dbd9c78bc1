package membership

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// viewShards splits the map by id, so that a change copies one shard only.
const viewShards = 128

// View is the set of upstreams at one moment. The set, the descriptions and
// the states in a View never change. Ages and loads are read through atomic
// cells that the registry refreshes, so that a liveness batch needs no new
// View. A cell belongs to one incarnation, state and group in force: once one
// of them changes, holders of the old View see it grow old.
type View struct {
	bound    time.Duration
	shards   [viewShards]map[string]*Upstream
	services map[string][]*Upstream
	count    int
}

// Upstream is one upstream in a View.
type Upstream struct {
	Announcement
	InForce GroupRef
	cell    *cell
}

// never marks a cell without any report.
const never = int64(-1) << 62

// cell holds what changes without a new View.
type cell struct {
	base time.Time
	// last is the time of the last report in nanoseconds since base.
	last atomic.Int64
	load atomic.Pointer[Load]
}

// Age returns the time since the upstream sent the last report that confirms
// this record; it is never less than the true age.
func (u *Upstream) Age(now time.Time) time.Duration {
	last := u.cell.last.Load()
	if last == never {
		return 1 << 62
	}
	return now.Sub(u.cell.base) - time.Duration(last)
}

// Reported returns the time of the last report; ok is false without one.
func (u *Upstream) Reported() (at time.Time, ok bool) {
	last := u.cell.last.Load()
	return u.cell.base.Add(time.Duration(max(last, 0))), last != never
}

// Load returns the newest load known.
func (u *Upstream) Load() Load {
	if l := u.cell.load.Load(); l != nil {
		return *l
	}
	return Load{}
}

// Confirmed reports whether the record is younger than the age bound.
func (v *View) Confirmed(u *Upstream, now time.Time) bool { return u.Age(now) < v.bound }

// Dispatchable reports whether new work may be sent to the upstream.
func (v *View) Dispatchable(u *Upstream, now time.Time) bool {
	return u.State == Ready && v.Confirmed(u, now)
}

// AgeBound returns the age from which information allows no dispatch.
func (v *View) AgeBound() time.Duration { return v.bound }

// Get returns the upstream with the id, or nil.
func (v *View) Get(id string) *Upstream { return v.shards[shardOf(id)][id] }

// Service returns the upstreams of a service sorted by id. The slice must not
// be changed.
func (v *View) Service(name string) []*Upstream { return v.services[name] }

// Len returns the number of upstreams.
func (v *View) Len() int { return v.count }

// All returns every upstream sorted by id.
func (v *View) All() []*Upstream {
	all := make([]*Upstream, 0, v.count)
	for _, shard := range v.shards {
		for _, u := range shard {
			all = append(all, u)
		}
	}
	slices.SortFunc(all, compareUpstreams)
	return all
}

func compareUpstreams(a, b *Upstream) int { return strings.Compare(a.ID, b.ID) }

func shardOf(id string) int { return int(xxhash.Sum64String(id) % viewShards) }

// viewChange is one upstream that differs from the published View; now is nil
// for a removed one.
type viewChange struct {
	old, now *Upstream
}

// with returns a View that has the changes; it shares every shard and service
// that they do not touch.
func (v *View) with(changes map[string]viewChange) *View {
	next := &View{bound: v.bound, shards: v.shards, count: v.count}
	next.services = make(map[string][]*Upstream, len(v.services)+1)
	for name, list := range v.services {
		next.services[name] = list
	}
	var copied [viewShards]bool
	touched := map[string]bool{}
	for id, c := range changes {
		n := shardOf(id)
		if !copied[n] {
			copied[n] = true
			next.shards[n] = copyShard(v.shards[n])
		}
		if c.now == nil {
			delete(next.shards[n], id)
		} else {
			next.shards[n][id] = c.now
		}
		if c.old != nil {
			next.count--
			next.editServices(c.old, nil, touched)
		}
		if c.now != nil {
			next.count++
			next.editServices(nil, c.now, touched)
		}
	}
	return next
}

func copyShard(m map[string]*Upstream) map[string]*Upstream {
	c := make(map[string]*Upstream, len(m)+1)
	for id, u := range m {
		c[id] = u
	}
	return c
}

// editServices removes or adds an upstream in the lists of its services. A
// list is copied at its first edit.
func (v *View) editServices(remove, add *Upstream, touched map[string]bool) {
	u := add
	if u == nil {
		u = remove
	}
	for _, name := range u.Services {
		list := v.services[name]
		if !touched[name] {
			touched[name] = true
			list = append(make([]*Upstream, 0, len(list)+1), list...)
		}
		i, found := slices.BinarySearchFunc(list, u, compareUpstreams)
		switch {
		case add == nil && found:
			list = slices.Delete(list, i, i+1)
		case add != nil && found:
			list[i] = add
		case add != nil:
			list = slices.Insert(list, i, add)
		}
		if len(list) == 0 {
			delete(v.services, name)
		} else {
			v.services[name] = list
		}
	}
}
