// Package share divides limits among entries without a remote call per request.
// Each limit has an owner daemon, chosen by rendezvous hashing over the live
// daemons, which leases shares of the limit to entries by reported demand. The
// package has no clock and no I/O: callers pass the time in and deliver
// messages.
//
// The sum of the valid leases of a limit never exceeds the limit, as long as
// clocks run within Config.Drift. This holds under lost, delayed and duplicated
// messages, under partitions, and if several daemons consider themselves the
// owner. An entry that has no lease and cannot reach the owner uses its
// guaranteed share, limit / entries. With F such entries among N, the limit is
// exceeded by at most F/N of it. F is less than N/2 once connections have been
// stable for Evidence + Lease.
package share

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the quantity that a limit applies to.
type Kind uint8

// Kinds of limits. Rate and Tokens are divided into arbitrary fractions,
// Concurrent and Slots into integers.
const (
	Rate       Kind = iota // requests per second
	Tokens                 // tokens per minute
	Concurrent             // concurrent requests
	Slots                  // upstream slots of a service
)

// isInteger reports whether shares of limits of this kind are integers.
func (k Kind) isInteger() bool { return k == Concurrent || k == Slots }

// LimitID identifies a limit by a hash of its kind, account and service.
type LimitID uint64

// ID returns the id of a limit. An empty account or service means that the
// limit covers all of them.
func ID(kind Kind, account, service string) LimitID {
	var d xxhash.Digest
	d.Reset()
	var head [9]byte
	head[0] = byte(kind)
	binary.LittleEndian.PutUint64(head[1:], uint64(len(account)))
	_, _ = d.Write(head[:])
	_, _ = d.WriteString(account)
	_, _ = d.WriteString(service)
	return LimitID(d.Sum64())
}

// Limit is a limit that applies to all entries together.
type Limit struct {
	ID    LimitID
	Kind  Kind
	Value float64
}

// Demand is the part of a limit that an entry could use. Paying demand is
// served before free demand. Used is the part that the entry cannot release
// immediately: the running requests, for limits of kind Concurrent and Slots.
type Demand struct {
	Paying, Free, Used float64
}

// Source is the origin of an allowance.
type Source uint8

// Sources of allowances.
const (
	// Leased is a lease, plus the provisional share for limits of kind Rate and
	// Tokens.
	Leased Source = iota
	// Provisional is the share that an entry may use before it has a lease,
	// while it is in contact with the owner.
	Provisional
	// Guaranteed is limit / entries, used while no owner grants leases to this
	// entry.
	Guaranteed
)

// Allowance is the part of a limit that an entry may currently use.
type Allowance struct {
	Value  float64
	Source Source
}

// Config configures a Node. Zero values take the defaults.
type Config struct {
	ID          string
	Incarnation uint64
	// Lease is the validity of a granted share.
	Lease time.Duration
	// Period is the interval between reports to an owner.
	Period time.Duration
	// Evidence is the maximum age of the confirmations from a majority of the
	// entries that an owner needs to grant leases.
	Evidence time.Duration
	// Drift is the maximum relative deviation of any clock's rate.
	Drift float64
	// MaxOwners is the maximum number of daemons that own limits. It bounds the
	// number of messages that each entry sends per period.
	MaxOwners int
}

// Defaults of Config.
const (
	DefaultLease     = 3 * time.Second
	DefaultPeriod    = time.Second
	DefaultEvidence  = 3 * time.Second
	DefaultDrift     = 0.001
	DefaultMaxOwners = 32
)

// provisionalFraction is the fraction of a rate that all entries together may
// use without a lease, in equal parts. Without it the first request of an
// account at an entry would be rejected. The rest is leased.
const provisionalFraction = 0.05

func (c Config) withDefaults() Config {
	if c.Lease == 0 {
		c.Lease = DefaultLease
	}
	if c.Period == 0 {
		c.Period = DefaultPeriod
	}
	if c.Evidence == 0 {
		c.Evidence = DefaultEvidence
	}
	if c.Drift == 0 {
		c.Drift = DefaultDrift
	}
	if c.MaxOwners == 0 {
		c.MaxOwners = DefaultMaxOwners
	}
	return c
}

// withDriftMargin lengthens a duration measured on one clock so that it has
// elapsed on every other clock, too.
func (c Config) withDriftMargin(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d) * (1 + 3*c.Drift)))
}

// exclusiveOwnership is how long an entry must have regarded one daemon as the
// owner of a limit before the entry counts towards that daemon's majority. If
// two daemons had such majorities within Evidence and granted leases within
// Lease, some entry would have regarded both as the only owner at the same time.
func (c Config) exclusiveOwnership() time.Duration { return c.withDriftMargin(c.Lease + c.Evidence) }

// Item is the demand of an entry for one limit.
type Item struct {
	Limit              LimitID
	Paying, Free, Used float32
}

// Report is the demand of an entry for the limits of one owner. Reports are
// numbered from 1 within an incarnation.
type Report struct {
	Incarnation, Seq uint64
	// AckIncarnation and Ack identify the last grant from this owner that the
	// entry has applied.
	AckIncarnation, Ack uint64
	// Digest identifies the set of limits for which the entry has regarded the
	// receiver as the only owner for long enough. Set lists these limits if
	// HasSet is true.
	Digest uint64
	HasSet bool
	Set    []LimitID
	Items  []Item
}

// NoAuthority is the share in a Grant for a limit that the sender may not
// grant, because a majority of the entries has not confirmed it as the owner.
const NoAuthority float32 = -1

// Grant is the response to a Report, with one share per item in the same order.
type Grant struct {
	Incarnation, Seq          uint64
	ReportIncarnation, Report uint64
	NeedSet                   bool
	Shares                    []float32
}

// Message holds either a Report or a Grant.
type Message struct {
	Report *Report
	Grant  *Grant
}

// Envelope is a message with its destination daemon.
type Envelope struct {
	To      string
	Message Message
}
