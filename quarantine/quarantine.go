// Package quarantine detects and quarantines requests, and parts of prompts, that
// crash the upstreams on which they run.
//
// The requests in flight on an upstream when it crashes become suspects, and with
// them the parts of their prompts that other requests may share. Every entry
// reports its own requests that were in flight there. The reports can be merged in
// any order, and a suspect waits until all entries have all reports. It then runs
// in isolation: only the owner of an upstream, which is a single entry, runs
// suspects there, one at a time. If a request or part is the only suspect common
// to two crashes during isolated runs, it alone explains both and is quarantined.
// A request that completes is cleared together with its parts.
//
// A Digest identifies a request or a part; both are reported, cleared and
// quarantined alike. A request is a suspect if it or one of its parts is.
//
// Callers pass the current time; the package starts no goroutines and opens no
// connections. A Tracker is safe for concurrent use.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"sync"
	"time"
)

// Digest identifies a request by account, service and body, so that a retry with
// another request id has the same digest, or a part of a prompt.
type Digest [16]byte

// partPrefix begins the digests of parts. The digest of a request begins with it
// by a chance of one in 2^32.
var partPrefix = [4]byte{0xff, 0xff, 0xff, 0xff}

// PartDigest returns the digest of a part of the prompts that a service receives.
func PartDigest(service, part string) Digest {
	d := DigestOf("", service, []byte(part))
	copy(d[:], partPrefix[:])
	return d
}

func (d Digest) isPart() bool { return [4]byte(d[:4]) == partPrefix }

// Kind tells in words what a digest identifies.
func (d Digest) Kind() string {
	if d.isPart() {
		return "prompt part"
	}
	return "request"
}

// DigestOf returns the digest of a request of an account. The resource is what
// the request addresses: a service, or a method and URI.
func DigestOf(account, resource string, body ...[]byte) Digest {
	h := sha256.New()
	var length [8]byte
	for _, part := range []string{account, resource} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(part))
	}
	for _, part := range body {
		_, _ = h.Write(part)
	}
	var sum [sha256.Size]byte
	return Digest(h.Sum(sum[:0])[:16])
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Target is one incarnation of an upstream. A target crashes at most once.
type Target struct {
	Upstream    string
	Incarnation uint64
}

// Config configures a Tracker. Zero fields take their values from
// DefaultConfig.
type Config struct {
	// Self is the id of this entry.
	Self string
	// Quarantine is the time for which a quarantined request is refused, and for
	// which crashes are kept.
	Quarantine time.Duration
	// ReportTimeout is the maximum time that suspects of a crash wait for the
	// reports of all entries: twice the maximum one-way delay, for a report and
	// its reply.
	ReportTimeout time.Duration
	// EndedRetention is how long a request that ended without an answer still
	// counts as in flight. It covers the time for which the upstream may still be
	// processing the request, plus MaxOneWayDelay until this entry learns of a
	// crash.
	EndedRetention time.Duration
	// Resend is the interval at which evidence and verdicts that other entries may
	// have missed are sent again.
	Resend time.Duration
	// CompletedRetention is how long a request may run on several upstreams at
	// once after it has completed.
	CompletedRetention time.Duration
	// SoundRetention is how long before a crash a request must have completed not
	// to be a suspect. It keeps a popular request, of which a copy is in flight at
	// most crashes, from being blamed. A request that begins to crash upstreams
	// becomes a suspect when it has not completed for this time.
	SoundRetention time.Duration
	// OnVerdict, if set, is called for each new verdict. It must not call the
	// Tracker.
	OnVerdict func(Verdict)
	// MaxCrashes, MaxDigests, MaxVerdicts and MaxCompleted limit the memory used
	// for crashes, the digests in all their reports, quarantined requests and
	// completed requests. At a limit, the oldest crash or completed request, or
	// the verdict that ends first, is removed.
	MaxCrashes, MaxDigests, MaxVerdicts, MaxCompleted int
}

// MaxOneWayDelay is the maximum delay of messages between entries for which the
// bound of MaxUpstreamsLost holds.
const MaxOneWayDelay = 2 * time.Second

// MaxReport is the maximum number of digests in one entry's report of a crash. A
// report with more is marked as truncated, and the crash cannot lead to a
// quarantine.
const MaxReport = 4096

// ProgressTime is the time after the first event of an answer from which Progressed
// applies to its run. It covers a few passes of an engine.
const ProgressTime = 100 * time.Millisecond

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		Quarantine: 10 * time.Minute, ReportTimeout: 2 * MaxOneWayDelay, EndedRetention: 2*time.Second + MaxOneWayDelay,
		Resend: 250 * time.Millisecond, CompletedRetention: time.Minute, SoundRetention: 10 * time.Second,
		MaxCrashes: 256, MaxDigests: 1 << 16, MaxVerdicts: 4096, MaxCompleted: 8192,
	}
}

// MaxUpstreamsLost returns the maximum number of upstreams that a request can
// crash within one quarantine time. It assumes that each run of the request
// crashes its upstream, messages between entries take at most MaxOneWayDelay, the
// entries agree on the list of entries, and each entry owns an upstream of the
// service. Each entry loses one upstream before it knows that the request is a
// suspect. One entry then loses one to an isolated run. Once that is known, each
// entry can lose another before it learns of the second such crash, for which the
// request is quarantined. If all retries go through one entry, three are lost.
func MaxUpstreamsLost(entries int) int { return 2*entries + 1 }

// Action states how a request may run.
type Action uint8

// Actions.
const (
	// Run allows any upstream, or only the pinned one if there is one.
	Run Action = iota
	// Isolate allows the upstreams that Isolation admits, or only the pinned one
	// if there is one. The run must not be cancelled when the caller disconnects,
	// because a request is quarantined only for crashes during which it was
	// certainly in flight.
	Isolate
	// Wait means that the caller should call Admit again shortly, at the latest
	// at Until.
	Wait
	// Refuse means that the request is quarantined until Until.
	Refuse
)

// Decision is the decision on one request.
type Decision struct {
	Action Action
	// Pin is the upstream on which this entry already runs the same request.
	// Copies run together, so that they crash at most one upstream.
	Pin   string
	Until time.Time
	// Culprit is the quarantined request or part for which a request is refused.
	Culprit Digest
}

// RunResult states how a run ended.
type RunResult uint8

// Results of a run.
const (
	// Completed means that the whole answer arrived.
	Completed RunResult = iota
	// NotStarted means that the upstream did not start the request.
	NotStarted
	// Answered means that the upstream answered with an error of its own. It is
	// no longer processing the request, but may have failed before the part that
	// would crash it.
	Answered
	// Cancelled means that the caller disconnected or that its deadline expired.
	// For EndedRetention, a retry runs on the same upstream, which may still
	// crash because of the request.
	Cancelled
	// Failed is any other end, such as a timeout of this entry.
	Failed
)

// Presence states how a request was in flight at a crash. Of several reports by an
// entry on a request, the one with the highest presence applies.
type Presence uint8

// Presences of a request at a crash.
const (
	// RecentlyEnded means that the request had ended without an answer shortly
	// before, so that the upstream may still have been processing it.
	RecentlyEnded Presence = iota + 1
	// InFlight means that the request was in flight.
	InFlight
	// Isolated means that the request was in flight in isolation from other
	// suspects.
	Isolated
)

// ReportedRequest is a request, or a part of one, that an entry reports as in
// flight at a crash.
type ReportedRequest struct {
	Digest   Digest
	Presence Presence
	// Depth is 0 for a request. For a part it is 16 times the number of other parts
	// that all requests with the part had, as far as the entry has seen them, plus
	// the position in the prompt, from 1. Fewer requests have a deeper part.
	Depth uint8
}

// PartDepth is the depth of a part that other entries have reported, as far as an
// entry has seen requests with it.
type PartDepth struct {
	Digest Digest
	Depth  uint8
}

// Placement is a suspect that runs on an upstream.
type Placement struct {
	Upstream string
	Digest   Digest
}

// Evidence is one entry's report on a crash.
type Evidence struct {
	Target Target
	// Requests are the entry's requests in flight, ordered by digest.
	Requests []ReportedRequest
	// Truncated is set if there were more than MaxReport requests.
	Truncated bool
	// Depths are the depths of parts for which another entry reported a higher one,
	// ordered by digest.
	Depths []PartDepth
	// Cleared are the requests known to have completed since the crash.
	Cleared []Digest
	// Elsewhere lists the suspects of the crash that the entry runs now on other
	// targets, ordered by upstream and digest.
	Elsewhere []Placement
	// Sum is a hash over all reports and cleared requests of the crash known to
	// the entry, ReportSum over the reports alone.
	Sum, ReportSum uint64
	// Open requests a reply. It is set when the information is repeated because
	// the entry does not know that all others have the same.
	Open bool
}

// Verdict states that a request is quarantined.
type Verdict struct {
	Digest Digest    `json:"digest"`
	Until  time.Time `json:"until"`
}

// Message carries evidence and verdicts from one entry to all others. Messages may
// be lost, repeated and reordered.
type Message struct {
	From     string
	Evidence []Evidence
	Verdicts []Verdict
}

// Tracker tracks crashes, suspects and verdicts for one entry.
type Tracker struct {
	cfg Config

	mu             sync.Mutex
	entries        []string            // sorted, with Self
	upstreams      map[string][]string // by service
	owned          map[string][]string // by service, the sorted upstreams that this entry owns
	crashes        map[Target]*crash
	crashOrder     []*crash // by knownSince
	digestCount    int      // in all reports
	suspects       map[Digest][]*crash
	verdicts       map[Digest]time.Time
	resendUntil    map[Digest]time.Time // own verdicts to resend, with the end of resending
	verdictsSentAt time.Time            // last time own verdicts were sent
	interrupted    map[Digest]time.Time // last interruption of requests that had progressed
	runs           map[uint64]*run
	runsByDigest   map[Digest][]*run
	runsByUpstream map[string][]*run // including runs that ended recently
	completed      map[Digest]time.Time
	completedOrder []Digest // in the order of completion
	contexts       partContexts
}

// run is a request in flight on an upstream, or one that recently ended without an
// answer.
type run struct {
	id     uint64
	digest Digest
	parts  []Digest
	target Target
	// isolated is set if the request was started as a suspect; progressed is set
	// by Progressed.
	isolated, progressed bool
	endedAt              time.Time // zero while in flight
}

// report holds the requests that one entry had in flight at a crash.
type report struct {
	digests   map[Digest]Presence
	truncated bool
}

// placements holds the suspects that another entry reported as running. They are
// sent again while they run and expire after ReportTimeout.
type placements struct {
	runs       []Placement
	receivedAt time.Time
}

// crash is the merged information on a crash.
type crash struct {
	target           Target
	knownSince       time.Time
	sentAt           time.Time
	sentSums         sums
	replyRequested   bool // another entry set Open in its evidence
	overdue          bool // reports were awaited for ReportTimeout
	reports          map[string]*report
	cleared          map[Digest]bool
	depths           map[Digest]uint8      // of parts, the lowest that an entry has found
	ownDepths        map[Digest]uint8      // lower than another entry reported
	peerSums         map[string]sums       // latest sums of each other entry
	peerPlacements   map[string]placements // by entry
	sentPlacements   bool                  // the last message contained placements
	placementChanged bool                  // a suspect was placed since the last message
	ownNews          bool                  // this entry cleared a request or lowered a depth since the last message
	sums             sums
}

// sums are hashes over what an entry knows of a crash: all facts, and the reports
// alone.
type sums struct {
	all, reports uint64
}

func (s *sums) addReport(fact uint64) {
	s.all ^= fact
	s.reports ^= fact
}
