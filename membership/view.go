package membership

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// viewShards is the number of maps over which upstreams are distributed by id.
// A change copies only one of them.
const viewShards = 128

// View is a snapshot of the set of upstreams. The set, the descriptions and the
// states in a View never change. Ages and loads are read from atomic variables
// that the registry keeps updating, so that a batch with only liveness needs no
// new View. These variables belong to one description, state and group in force.
// When one of them changes, the upstream gets new variables, and the age in an
// older View only grows.
type View struct {
	ageBound time.Duration
	shards   [viewShards]map[string]*Upstream
	services map[string][]*Upstream
	count    int
}

// Upstream is one upstream in a View.
type Upstream struct {
	Announcement
	InForce GroupRef
	live    *liveState
}

// never is the sentinel for the time of an event that has not happened.
const never = int64(-1) << 62

// liveState is the part of an Upstream that changes without a new View.
type liveState struct {
	base time.Time
	// reportedAt is the time of the last report in nanoseconds since base.
	reportedAt atomic.Int64
	load       atomic.Pointer[Load]
}

// Age returns an upper bound of the time since the upstream sent the last report
// that confirms this state and group.
func (u *Upstream) Age(now time.Time) time.Duration {
	reportedAt := u.live.reportedAt.Load()
	if reportedAt == never {
		return 1 << 62
	}
	return now.Sub(u.live.base) - time.Duration(reportedAt)
}

// Reported returns the time of the last report. ok is false if there was none.
func (u *Upstream) Reported() (at time.Time, ok bool) {
	reportedAt := u.live.reportedAt.Load()
	return u.live.base.Add(time.Duration(max(reportedAt, 0))), reportedAt != never
}

// Load returns the newest known load.
func (u *Upstream) Load() Load {
	if l := u.live.load.Load(); l != nil {
		return *l
	}
	return Load{}
}

// Confirmed reports whether the last report is younger than the age bound.
func (v *View) Confirmed(u *Upstream, now time.Time) bool { return u.Age(now) < v.ageBound }

// Dispatchable reports whether new requests may be sent to the upstream.
func (v *View) Dispatchable(u *Upstream, now time.Time) bool {
	return u.State == Ready && v.Confirmed(u, now)
}

// AgeBound returns the age at which reports expire.
func (v *View) AgeBound() time.Duration { return v.ageBound }

// Get returns the upstream with the given id, or nil.
func (v *View) Get(id string) *Upstream { return v.shards[shardOf(id)][id] }

// Service returns the upstreams of a service sorted by id. The caller must not
// modify the slice.
func (v *View) Service(name string) []*Upstream { return v.services[name] }

// Len returns the number of upstreams.
func (v *View) Len() int { return v.count }

// All returns all upstreams sorted by id.
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

// viewChange is a change of one upstream since the last View. old is nil for an
// added upstream and new for a removed one.
type viewChange struct {
	old, new *Upstream
}

// apply returns a View with the changes. It shares all unaffected shards and
// service lists with v.
func (v *View) apply(changes map[string]viewChange) *View {
	next := &View{ageBound: v.ageBound, shards: v.shards, count: v.count}
	next.services = make(map[string][]*Upstream, len(v.services)+1)
	for name, list := range v.services {
		next.services[name] = list
	}
	var copied [viewShards]bool
	copiedServices := map[string]bool{}
	for id, c := range changes {
		n := shardOf(id)
		if !copied[n] {
			copied[n] = true
			next.shards[n] = copyShard(v.shards[n])
		}
		if c.new == nil {
			delete(next.shards[n], id)
		} else {
			next.shards[n][id] = c.new
		}
		if c.old != nil {
			next.count--
			next.updateServices(c.old, nil, copiedServices)
		}
		if c.new != nil {
			next.count++
			next.updateServices(nil, c.new, copiedServices)
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

// updateServices removes or adds an upstream in the lists of its services. A
// list that is not in copied yet is copied first.
func (v *View) updateServices(remove, add *Upstream, copied map[string]bool) {
	u := add
	if u == nil {
		u = remove
	}
	for _, name := range u.Services {
		list := v.services[name]
		if !copied[name] {
			copied[name] = true
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
