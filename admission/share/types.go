// Package share divides limits among entries without a call per request. Each
// limit has an owner daemon, chosen by rendezvous hashing over the live
// daemons, which leases parts of the limit by reported demand. It reads no
// clock and opens no connection: callers pass the time in and carry messages.
//
// The leases of one limit that are valid at one time never add up to more than
// the limit, whatever is lost, late, duplicated or partitioned, and whichever
// daemons take themselves for its owner, while clocks run within Config.Drift.
// An entry without a lease whose owner is out of contact uses the guaranteed
// part, limit / entries. With F such entries among N the limit is therefore
// exceeded by at most F/N of it, and F is under N/2 once connections have been
// stable for Evidence + Lease.
package share

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what a limit counts.
type Kind uint8

// Kinds of limits. Rate and Tokens are divided into any fractions, Concurrent
// and Slots into whole numbers.
const (
	Rate       Kind = iota // requests per second
	Tokens                 // tokens per minute
	Concurrent             // requests at once
	Slots                  // upstream slots of a service
)

func (k Kind) whole() bool { return k == Concurrent || k == Slots }

// LimitID identifies a limit by a hash of its kind, account and service.
type LimitID uint64

// ID returns the id of a limit. Account or service is empty for a limit that
// covers all of them.
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

// Limit is a limit in force over all entries.
type Limit struct {
	ID    LimitID
	Kind  Kind
	Value float64
}

// Demand is what an entry could use of a limit. Paying demand is served before
// free demand. Used is what it cannot give back at once: running requests, for
// limits of kind Concurrent and Slots.
type Demand struct {
	Paying, Free, Used float64
}

// Source says where an allowance comes from.
type Source uint8

// Sources of allowances.
const (
	// Leased is a lease, plus the starter part for limits of kind Rate and
	// Tokens.
	Leased Source = iota
	// Starter is the part of a limit that entries may use before they have a
	// lease, while the owner is in contact.
	Starter
	// Guaranteed is limit / entries, used while no owner grants leases.
	Guaranteed
)

// Allowance is what an entry may use of a limit now.
type Allowance struct {
	Value  float64
	Source Source
}

// Config configures a Node. Zero values take the defaults.
type Config struct {
	ID          string
	Incarnation uint64
	// Lease is how long a granted share is valid.
	Lease time.Duration
	// Period is the time between reports to an owner.
	Period time.Duration
	// Evidence is how recently an owner must have exchanged messages with a
	// majority of the entries to grant leases.
	Evidence time.Duration
	// Drift bounds the difference in rate of any clock from true time.
	Drift float64
	// MaxOwners bounds the daemons that own limits, and with it the messages
	// of each entry per period.
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

// starterFraction of a rate is usable without a lease, in equal parts, so that
// the first request of an account at an entry is not refused. Leases divide the
// rest.
const starterFraction = 0.05

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

// stretch lengthens a duration so that it has passed on every clock.
func (c Config) stretch(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d) * (1 + 3*c.Drift)))
}

// exclusive is how long an entry must have taken one daemon for the owner of a
// limit before it counts towards that daemon's majority. Two daemons that each
// had such a majority within Evidence, and granted within Lease, would need an
// entry that had both for its only owner at the same time.
func (c Config) exclusive() time.Duration { return c.stretch(c.Lease + c.Evidence) }

// Item is the demand for one limit in a Report.
type Item struct {
	Limit              LimitID
	Paying, Free, Used float32
}

// Report tells an owner what an entry could use. Reports of one incarnation
// are numbered from 1.
type Report struct {
	Incarnation, Seq uint64
	// AckIncarnation and Ack name the last grant from this owner that is in
	// force at the entry.
	AckIncarnation, Ack uint64
	// Digest identifies the set of limits of which the entry has taken the
	// receiver for the only owner long enough. Set lists them when HasSet.
	Digest uint64
	HasSet bool
	Set    []LimitID
	Items  []Item
}

// NoAuthority is the share in a Grant for a limit that the sender does not
// grant, because it lacks a majority of the entries.
const NoAuthority float32 = -1

// Grant answers a Report: one share for each item, in the same order.
type Grant struct {
	Incarnation, Seq          uint64
	ReportIncarnation, Report uint64
	NeedSet                   bool
	Shares                    []float32
}

// Message is a Report or a Grant.
type Message struct {
	Report *Report
	Grant  *Grant
}

// Envelope is a message to a daemon.
type Envelope struct {
	To      string
	Message Message
}
