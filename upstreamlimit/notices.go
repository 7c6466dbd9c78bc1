package upstreamlimit

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxPause is the longest pause that is obeyed. It bounds the time for which an
	// upstream that names an absurd one gets no requests.
	MaxPause = 5 * time.Minute
	// noticeRetention is how long a departure is remembered after the upstream is
	// gone, in case an older list restores its record.
	noticeRetention = 5 * time.Minute
)

// ParseLeaving reads the value of a header by which an upstream says that it is
// leaving. Only "1" says so; an absent header, "0" and anything else do not.
func ParseLeaving(value string) bool { return strings.TrimSpace(value) == "1" }

// ParsePause reads a Retry-After header: seconds, which may have a fraction, or a
// date (RFC 9110, section 10.2.3). Of several headers the first one counts. It
// returns false for a header that is absent, malformed or not in the future, and
// at most MaxPause.
func ParsePause(now time.Time, h http.Header) (time.Duration, bool) {
	value := strings.TrimSpace(h.Get("Retry-After"))
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if math.IsNaN(seconds) || seconds <= 0 {
			return 0, false
		}
		return time.Duration(min(seconds, MaxPause.Seconds()) * float64(time.Second)), true
	}
	date, err := http.ParseTime(value)
	if err != nil || !date.After(now) {
		return 0, false
	}
	return min(date.Sub(now), MaxPause), true
}

// Notices holds what the answers of upstreams have told this entry about their
// processes. It is not safe for concurrent use. The zero value is ready to use.
type Notices struct {
	notices map[Target]*notice
}

// notice is what one process has told.
type notice struct {
	// leaving is final for a process.
	leaving     bool
	pausedUntil time.Time
	updated     time.Time
}

func (n *Notices) notice(now time.Time, target Target) *notice {
	if n.notices == nil {
		n.notices = map[Target]*notice{}
	}
	entry := n.notices[target]
	if entry == nil {
		entry = &notice{}
		n.notices[target] = entry
	}
	entry.updated = now
	return entry
}

// Leave records that a process is leaving, and reports whether that is new.
func (n *Notices) Leave(now time.Time, target Target) bool {
	entry := n.notice(now, target)
	isNew := !entry.leaving
	entry.leaving = true
	return isNew
}

// Pause records that a process wants no requests for a time. A shorter pause does
// not end a longer one. It reports whether the end has moved.
func (n *Notices) Pause(now time.Time, target Target, pause time.Duration) bool {
	entry := n.notice(now, target)
	until := now.Add(min(pause, MaxPause))
	if !until.After(entry.pausedUntil) {
		return false
	}
	entry.pausedUntil = until
	return true
}

// Leaving reports whether a process has said that it is leaving.
func (n *Notices) Leaving(target Target) bool {
	entry := n.notices[target]
	return entry != nil && entry.leaving
}

// PausedFor returns the rest of a pause, zero if there is none.
func (n *Notices) PausedFor(now time.Time, target Target) time.Duration {
	entry := n.notices[target]
	if entry == nil {
		return 0
	}
	return max(entry.pausedUntil.Sub(now), 0)
}

// Count returns the number of processes with a notice.
func (n *Notices) Count() int { return len(n.notices) }

// Retain removes the notices that have ended, and those of processes that have been
// gone for a while.
func (n *Notices) Retain(now time.Time, present func(Target) bool) {
	for target, entry := range n.notices {
		ended := !entry.leaving && !now.Before(entry.pausedUntil)
		gone := !present(target) && now.Sub(entry.updated) > noticeRetention
		if ended || gone {
			delete(n.notices, target)
		}
	}
}
