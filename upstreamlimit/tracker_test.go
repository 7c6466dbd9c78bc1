package upstreamlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testTarget = Target{Upstream: "u", Incarnation: 1}

// Guards against an upstream that names no limit and is held back, and against a
// limit that outlives the process that named it, or the answers that name it.
func TestLimitsBeginAndEnd(t *testing.T) {
	now := simTime(0)
	tracker := New(Config{Self: "a", Incarnation: 1}, now)
	send := func() bool { return tracker.Offer(now, testTarget) == 0 && tracker.Take(now, testTarget) }
	require.False(t, tracker.Observe(now, testTarget, 0, false))
	require.True(t, send())
	require.True(t, tracker.Observe(now, testTarget, 2, true))
	require.False(t, tracker.Observe(now, testTarget, 2, true), "the same limit again")
	require.True(t, send())
	require.False(t, send())
	require.Equal(t, 500*time.Millisecond, tracker.Offer(now, testTarget))
	now = now.Add(500 * time.Millisecond)
	require.True(t, send())
	require.True(t, tracker.Take(now, Target{Upstream: "u", Incarnation: 2}), "the next process has named no limit")
	require.True(t, tracker.Observe(now, testTarget, 0, false))
	for range 10 {
		require.True(t, send())
	}
	require.True(t, tracker.Observe(now, testTarget, 2, true))
	tracker.Retain(now, func(Target) bool { return false })
	require.Zero(t, tracker.Count())
}

// Guards against limits that only the entries with traffic know, and against a late
// message that restores a limit which this entry has just seen lifted.
func TestLimitsReachOtherEntries(t *testing.T) {
	now := simTime(0)
	a, b := New(Config{Self: "a", Incarnation: 1}, now), New(Config{Self: "b", Incarnation: 1}, now)
	a.SetEntries(now, []string{"b"}, nil)
	b.SetEntries(now, []string{"a"}, nil)
	announce := func() (announced []Named) {
		for _, e := range a.Tick(now) {
			announced = append(announced, e.Message.Named...)
			if e.To == "b" {
				b.Receive(now, "a", e.Message)
			}
		}
		return announced
	}
	a.Observe(now, testTarget, 4, true)
	require.Equal(t, []Named{{testTarget, 4, 1}}, announce())
	require.Equal(t, 1, b.Count())
	require.Empty(t, announce(), "told once")
	require.Equal(t, []Named{{testTarget, 4, 1}}, b.Snapshot().Named, "for an entry that joins")
	a.Observe(now, testTarget, 0, false)
	require.Equal(t, []Named{{testTarget, -1, 2}}, announce())
	require.Zero(t, b.Count())
	a.Receive(now, "b", Message{Named: []Named{{testTarget, 4, 3}}})
	require.Zero(t, a.Count())
	now = now.Add(2 * ownValidity)
	a.Receive(now, "b", Message{Named: []Named{{testTarget, 4, 3}}})
	require.Equal(t, 1, a.Count())
	a.Receive(now, "b", Message{Named: []Named{{testTarget, 1e9, 9}}})
	require.Equal(t, 4.0, a.Statuses(now)[0].Rate, "not a limit")
}

// Guards against a limit that is kept for good because an announcement of it arrives
// after the one of its lift, which is sent once. Messages of three entries arrive in each
// order, and repeatedly.
func TestLateAnnouncementDoesNotRevertALaterOne(t *testing.T) {
	named := Message{Named: []Named{{testTarget, 4, 1}}}
	lifted := Message{Named: []Named{{testTarget, -1, 2}}}
	for _, order := range [][]Message{{named, lifted, named}, {lifted, named}, {lifted, named, lifted, named}} {
		now := simTime(0)
		c := New(Config{Self: "c", Incarnation: 1}, now)
		for _, m := range order {
			c.Receive(now, "b", m)
			now = now.Add(2 * ownValidity)
		}
		require.Zero(t, c.Count())
		c.Receive(now, "b", Message{Named: []Named{{testTarget, 2, 3}}})
		require.Equal(t, 2.0, c.Statuses(now)[0].Rate, "a later change")
	}
}

// Guards against ignoring what an entry sees that has restarted and does not know the
// versions of the others.
func TestRestartedEntryIsHeard(t *testing.T) {
	now := simTime(0)
	old, restarted := New(Config{Self: "a", Incarnation: 1}, now), New(Config{Self: "b", Incarnation: 2}, now)
	old.Receive(now, "c", Message{Named: []Named{{testTarget, 4, 5}}})
	restarted.Observe(now, testTarget, 2, true)
	restarted.Receive(now, "a", old.Snapshot())
	require.Equal(t, 2.0, restarted.Statuses(now)[0].Rate, "its own answer is newer")
	restarted.Observe(now, testTarget, 2, true)
	old.Receive(now, "b", restarted.Snapshot())
	require.Equal(t, 2.0, old.Statuses(now)[0].Rate)
}
