// Package quarantine finds requests that crash the upstreams which run them.
//
// The requests in flight on an upstream when it crashes become suspects. Every
// entry reports what it had in flight there, the reports are merged in any
// order, and a suspect waits until all entries know all reports. It then runs
// again only apart from other suspects: an upstream takes suspects from one
// entry, its owner, which runs one suspect there at a time. A request that is
// the only one common to two crashes of such runs explains both alone and is
// quarantined; one that completes is cleared.
//
// The package reads no clock, starts no goroutine and opens no connection. A
// Book may be used by several goroutines.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"
)

// Digest identifies a request by account, service and body, so that a resend
// under another request id has the same digest.
type Digest [16]byte

// DigestOf returns the digest of a request.
func DigestOf(account, service string, body []byte) Digest {
	h := sha256.New()
	var length [8]byte
	for _, part := range []string{account, service} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body)
	var sum [sha256.Size]byte
	return Digest(h.Sum(sum[:0])[:16])
}

// Target is one run of an upstream's process. A target crashes at most once.
type Target struct {
	Upstream    string
	Incarnation uint64
}

// Config holds the constants of a book. Zero fields get the defaults of
// DefaultConfig.
type Config struct {
	// Self is the id of this entry.
	Self string
	// Quarantine is the time for which a request is refused, and for which
	// crashes are remembered.
	Quarantine time.Duration
	// Settle is the longest time that suspects of a crash wait for the
	// entries' reports: twice the longest one-way delay, for a report and its
	// answer.
	Settle time.Duration
	// Linger is the time for which a request that ended without an answer
	// still counts as in flight. It covers the time for which the upstream may
	// still be working on it, and MaxOneWayDelay, after which this entry may
	// learn of a crash.
	Linger time.Duration
	// Resend is the time between sendings of what others lack.
	Resend time.Duration
	// Proven is the time for which a completed request may run on several
	// upstreams at once.
	Proven time.Duration
	// MaxCrashes, MaxDigests and MaxVerdicts bound the memory: the crashes,
	// the digests of all their reports, and the quarantined requests. The
	// oldest crash, or the verdict that ends first, gives way. MaxProven
	// bounds the completed requests on record.
	MaxCrashes, MaxDigests, MaxVerdicts, MaxProven int
}

// MaxOneWayDelay is the delay of messages between entries for which the stated
// bounds hold.
const MaxOneWayDelay = 2 * time.Second

// MaxReport bounds the digests in one entry's report of a crash. A report that
// had more is marked as truncated and proves nothing.
const MaxReport = 4096

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Quarantine: 10 * time.Minute, Settle: 2 * MaxOneWayDelay, Linger: 2*time.Second + MaxOneWayDelay,
		Resend: 250 * time.Millisecond, Proven: time.Minute,
		MaxCrashes: 256, MaxDigests: 1 << 16, MaxVerdicts: 4096, MaxProven: 8192,
	}
}

// MaxUpstreamsLost returns the most upstreams that a request can crash in one
// quarantine time if each run of it crashes its upstream, messages between the
// entries take no longer than MaxOneWayDelay, the entries agree on the list of
// entries, and each entry owns an upstream of the service. Each entry loses one
// before it knows the request as a suspect. One entry then loses one to an
// isolated run, and once that is known each can lose another before it knows
// of the second such crash, which condemns. Where resends go through one entry,
// three are lost.
func MaxUpstreamsLost(entries int) int { return 2*entries + 1 }

// Action says what to do with a request.
type Action uint8

// Actions.
const (
	// Run allows any upstream, or only the pinned one.
	Run Action = iota
	// Isolate allows the upstreams that Isolation admits, or the pinned one.
	// The run must not be cancelled when the caller leaves, because only a
	// request that is certainly in flight at a crash is condemned for it.
	Isolate
	// Wait asks to try again shortly, at the latest when Until has come.
	Wait
	// Refuse means that the request is quarantined until Until.
	Refuse
)

// Ruling is the answer for one request.
type Ruling struct {
	Action Action
	// Pin names the upstream on which this entry already runs the same
	// request. Copies run together, so that they crash one upstream at most.
	Pin   string
	Until time.Time
}

// Ending says how a run ended.
type Ending uint8

// Endings.
const (
	// Completed means that the whole answer arrived.
	Completed Ending = iota
	// NotStarted means that the upstream did not start the request.
	NotStarted
	// Cancelled means that the caller gave up, or set a deadline that passed.
	// For the time of Linger a resend runs on the same upstream, which may
	// still be about to crash.
	Cancelled
	// Broken is every other end, such as a timeout of this entry.
	Broken
)

// Presence says in which way a request was in flight at a crash. Of two reports
// of an entry on a request, the higher presence counts.
type Presence uint8

// Presences.
const (
	// Lingering means that the request had ended without an answer shortly
	// before, so that the upstream may still have been working on it.
	Lingering Presence = iota + 1
	// InFlight means that it was in flight.
	InFlight
	// Isolated means that it was in flight as a suspect, apart from others.
	Isolated
)

// Accused is a request in flight at a crash.
type Accused struct {
	Digest   Digest
	Presence Presence
}

// Placement is a suspect that runs on an upstream.
type Placement struct {
	Upstream string
	Digest   Digest
}

// Evidence is what one entry knows of a crash.
type Evidence struct {
	Target Target
	// Requests are what the entry had in flight, in the order of the digests.
	Requests []Accused
	// Truncated says that there were more than MaxReport.
	Truncated bool
	// Cleared are the requests known to have completed since.
	Cleared []Digest
	// Elsewhere lists the suspects of the crash that the entry runs now, by
	// upstream and digest.
	Elsewhere []Placement
	// Sum is a hash over all reports and cleared requests of the crash that
	// the entry knows.
	Sum uint64
	// Open says that the entry does not know yet whether all others know the
	// same, and asks those who do to say so.
	Open bool
}

// Verdict is a quarantined request.
type Verdict struct {
	Digest Digest
	Until  time.Time
}

// Message carries the knowledge of an entry to all others. Messages may be
// lost, repeated and reordered.
type Message struct {
	From     string
	Evidence []Evidence
	Verdicts []Verdict
}

// Book is one entry's knowledge of crashes, suspects and verdicts.
type Book struct {
	cfg Config

	mu        sync.Mutex
	entries   []string            // sorted, with Self
	upstreams map[string][]string // by service
	owned     map[string][]string // those of a service that this entry owns, sorted
	crashes   map[Target]*crash
	order     []*crash // by the time at which they became known
	digests   int      // in all reports
	suspects  map[Digest][]*crash
	verdicts  map[Digest]time.Time
	fresh     map[Digest]time.Time // own verdicts still to be resent, with their end
	resent    time.Time            // last sending of those
	runs      map[uint64]*run
	placed    map[Digest][]*run
	byTarget  map[string][]*run // by upstream, with lingering runs
	proven    map[Digest]time.Time
	provenLog []Digest // in the order of completion
}

// run is a request in flight on an upstream, or one that ended without an
// answer a short time ago.
type run struct {
	id     uint64
	digest Digest
	target Target
	// isolated says that it was started as a suspect.
	isolated bool
	ended    time.Time // zero while in flight
}

// report is what one entry had in flight.
type report struct {
	digests   map[Digest]Presence
	truncated bool
}

// placements lists the suspects that another entry said it runs. They are
// repeated while they run, and hold for the time of Settle.
type placements struct {
	runs []Placement
	at   time.Time
}

// crash is the merged knowledge of a crash.
type crash struct {
	target    Target
	known     time.Time
	sent      time.Time
	sentSum   uint64
	asked     bool // another entry waits for what was sent to it
	reports   map[string]*report
	cleared   map[Digest]bool
	sums      map[string]uint64     // newest sum of each other entry
	elsewhere map[string]placements // by entry
	placing   bool                  // the last message sent named placements
	placed    bool                  // there is a placement since the last message
	sum       uint64
}
