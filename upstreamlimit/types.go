// Package upstreamlimit keeps the request rates that upstreams in need name in
// their answers, and divides each rate between the entries. The package reads no
// clock and does no I/O: callers pass the time in and deliver messages.
//
// A rate is divided into whole units, which package share leases to the entries by
// demand. Each unit is a token bucket of one request. Invariants:
//   - The entries hold no more units of a limit than it has, with the exceptions
//     of package share: F entries among N that no owner reaches add F/N of them.
//   - In any period the entries send at most one request for each unit beyond the
//     rate times the period.
package upstreamlimit

import (
	"time"

	"github.com/bluebellfield/bluebellfield/admission/share"
)

// Target identifies one process of an upstream. A restarted upstream names its
// limit anew.
type Target struct {
	Upstream    string
	Incarnation uint64
}

// Named is a rate that an upstream has named.
type Named struct {
	Target Target
	// Rate is in requests per second. It is negative if the upstream no longer
	// names a limit.
	Rate float64
	// Version is higher than those of all changes that the entry knew of when it
	// learned this one. It is zero from entries of an earlier version.
	Version uint64
}

// Message is exchanged between entries. It holds either limits that the sender
// has learned from answers, or a message of package share.
type Message struct {
	Named []Named
	Share *share.Message
}

// Envelope is a message with the entry to which it is sent.
type Envelope struct {
	To      string
	Message Message
}

// Status describes a limit at this entry.
type Status struct {
	Target Target
	Rate   float64
	// Share is the part of the rate that this entry may send.
	Share float64
}

// Config configures a Tracker.
type Config struct {
	// Self is the id of this entry. Incarnation increases with each start of it.
	Self        string
	Incarnation uint64
}

const (
	// minRate is the lowest rate that is obeyed, one request in two seconds. Without a
	// request now and then an upstream could not say that it accepts more.
	minRate = 0.5
	// maxRate is the highest rate that counts as a limit. Units above it are too many
	// to divide, and no upstream answers that many requests.
	maxRate = 100_000
	// announceInterval is the time after which an entry repeats the limits that it
	// has learned from answers, for entries that have missed them.
	announceInterval = 5 * time.Second
	// ownValidity is the time for which an answer received by this entry prevails
	// over what others report, which may be older.
	ownValidity = time.Second
	// entryRetention is the time for which an entry that is no longer reachable is
	// counted. It may still be sending.
	entryRetention = 15 * time.Second
	// demandWindow is the time over which the demand of this entry is averaged.
	demandWindow = 2 * time.Second
	// minOffered is the demand in requests per second below which an entry needs no
	// units.
	minOffered = 0.1
	// firstTokens is the time for which a unit has earned when an entry gains it.
	firstTokens = time.Second
	// leaseWait is the time in which an entry without units gets some if there are
	// any left.
	leaseWait = 250 * time.Millisecond
)

const (
	// leaseTime is also the time after which the entries take turns, if a limit has
	// fewer units than there are entries. Units that move more often would bring more
	// of their first requests into a few seconds.
	leaseTime = 3 * time.Second
	// evidenceTime is the age up to which confirmations of an owner count, three reports.
	// Until a new limit has been known for leaseTime and evidenceTime it is divided
	// evenly.
	evidenceTime = 1500 * time.Millisecond
	// reportPeriod is the time in which a unit moves to an entry that needs it.
	reportPeriod = 500 * time.Millisecond
	// maxOwners bounds the messages: each entry reports to each owner. Few upstreams
	// name limits at a time.
	maxOwners = 4
)
