package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// In a saturated service, the next request must use a slot that was just freed
// rather than follow outdated load reports. The end of a request that does not
// free a slot must not count.
func TestFreedSlotIsUsedAtSaturation(t *testing.T) {
	for _, c := range []struct {
		name   string
		load   int
		late   time.Duration
		failed bool
		change func(c *Candidate)
		want   bool
	}{
		{name: "full", load: 40, want: true},
		{name: "not full", load: 10},
		{name: "too late", load: 40, late: time.Second},
		{name: "the request failed", load: 40, failed: true},
		{name: "draining", load: 40, change: func(c *Candidate) { c.State = Draining }},
		{name: "restarted", load: 40, change: func(c *Candidate) { c.Incarnation++ }},
	} {
		for _, n := range []int{65, 2100} {
			t.Run(c.name, func(t *testing.T) {
				r := New(Config{}, nil)
				all := fleet(n, benchTime)
				for i := range all {
					all[i].Load.Running = c.load
				}
				u := r.Publish(benchTime, all).Upstream(all[n-1].ID)
				r.Begin(benchTime, u, nil)
				r.Done(benchTime, u, Observation{SlotFreed: !c.failed})
				if c.change != nil {
					c.change(&all[n-1])
				}
				r.Publish(benchTime, all)
				random := NewSource(1)
				choice, err := r.Pick(benchTime.Add(c.late), random, &Request{Service: "chat"})
				require.NoError(t, err)
				require.Equal(t, c.want, choice.Freed)
				if c.want {
					require.Equal(t, u.ID, choice.Upstream.ID)
				}
				choice, err = r.Pick(benchTime, random, &Request{Service: "chat"})
				require.NoError(t, err)
				require.False(t, choice.Freed && c.want, "a freed slot is used once")
			})
		}
	}
}
