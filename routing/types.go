package routing

import (
	"cmp"
	"errors"
	"time"
)

// State is the serving state of an upstream.
type State string

// Serving states.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Leaving  State = "leaving"
)

// Role is a phase of inference. The zero value, like RoleBoth, covers both.
type Role string

// Roles of model engines.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Model names what an engine has loaded. An empty Adapter is the base model.
type Model struct {
	Name, Version, Adapter string
}

// Load is the newest load report of an upstream.
type Load struct {
	// Running and Queued count requests.
	Running, Queued int
	// KVUse is the used fraction of the engine's KV memory, 0 to 1.
	KVUse float64
	// At is the latest time at which the report can have been sent, on the
	// clock of this entry less the age that the report had on arrival.
	At time.Time
}

// Group is the replica group that an upstream has in force.
type Group struct {
	ID    string
	Epoch uint64
	Rank  int
	// Complete says that each member is present with the incarnation and the
	// epoch that were committed.
	Complete bool
	// ConfirmedAt is the send time of the oldest of the members' newest
	// confirmations.
	ConfirmedAt time.Time
}

// Candidate describes an upstream as the views of membership and groups show
// it.
type Candidate struct {
	ID            string
	Incarnation   uint64
	Address       string
	FailureDomain string
	Region        string
	Services      []string
	State         State
	Role          Role
	Models        []Model
	// Priorities says that the engine runs paying work ahead of free work.
	Priorities bool
	// MaxConcurrent is the number of requests that are batched at once; 0
	// counts as 1.
	MaxConcurrent int
	Load          Load
	Group         Group
}

// Request describes what is to be routed.
type Request struct {
	Service string
	// Model, Version and Adapter restrict the choice where they are not empty.
	Model, Version, Adapter string
	// AdapterRequired restricts the choice to engines that have the adapter
	// loaded; otherwise these are only preferred.
	AdapterRequired bool
	// Role is the phase that the engine must be able to run.
	Role   Role
	Paying bool
	// NeedsGroup restricts the choice to rank 0 of complete groups.
	NeedsGroup bool
	// Excluded holds the ids of upstreams that earlier attempts used.
	Excluded []string
	// Pinned restricts the choice to one upstream when it is not empty.
	Pinned string
	// Isolate is set for a suspect of quarantine and says whether the suspect
	// may run on an upstream.
	Isolate func(upstream string) bool
	// Prefix holds the block hashes of the prompt; see BlockHashes.
	Prefix []uint64
}

// Errors of a pick.
var (
	// ErrUnknownService means that no upstream of the table serves the service
	// and model.
	ErrUnknownService = errors.New("no upstream serves this service and model")
	// ErrExhausted means that some upstream lacks nothing but capacity, so
	// that waiting helps.
	ErrExhausted = errors.New("every suitable upstream is at capacity")
	// ErrNoUpstream means that the filters removed every upstream.
	ErrNoUpstream = errors.New("no suitable upstream")
)

// Config holds the constants of routing. Zero fields get the defaults of
// DefaultConfig.
type Config struct {
	// FailureDomain and Region are those of the entry.
	FailureDomain, Region string
	// Entries is the number of entries that route to the same upstreams.
	Entries int
	// MaxAge bounds the age of the report, and of a group's confirmation, on
	// which a request may be dispatched.
	MaxAge time.Duration
	// QueueFactor is the load, as a multiple of MaxConcurrent, from which an
	// upstream counts as exhausted.
	QueueFactor float64
	// ScanLimit is the number of upstreams of a service up to which all are
	// scored.
	ScanLimit int
	// Sample is the number of upstreams that are scored, besides those that
	// the prefix index proposes, where a service has more than ScanLimit.
	Sample int
	// Finalists is the number of best-scored upstreams from which the pick
	// draws two, at most 16.
	Finalists int
	// StickyMargin is the load, as a fraction of MaxConcurrent, by which a
	// holder of the prefix may exceed the mean load of the scored upstreams
	// and still be chosen for its prefix.
	StickyMargin float64
	// FullService is the mean load of the scored upstreams, as a fraction of
	// their batch sizes, from which a request goes to the upstream that has
	// just ended one.
	FullService float64
	// Weights multiply the scores.
	Weights Weights
	// Costs hold the seconds behind the scores.
	Costs Costs
}

// Weights multiply the scores of the same names; 1 leaves the estimate in
// seconds as it is.
type Weights struct {
	Load, Prefix, Distance, Latency, Adapter, Priority float64
}

// Costs are estimates in seconds that turn counts into delay of the first
// token.
type Costs struct {
	// FullLoad is the delay at an upstream whose batch is full.
	FullLoad float64
	// Waiting is the delay for each batch of requests that wait.
	Waiting float64
	// Block is the time to compute one block of the prompt that is not cached.
	Block float64
	// SameRegion and OtherRegion are the delays of upstreams outside the
	// entry's failure domain.
	SameRegion, OtherRegion float64
	// AdapterLoad is the time to load an adapter.
	AdapterLoad float64
	// NoPriority is the delay of paying work at a full upstream that does not
	// honour priorities.
	NoPriority float64
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Entries:      1,
		MaxAge:       3 * time.Second,
		QueueFactor:  2,
		ScanLimit:    96,
		Sample:       32,
		Finalists:    16,
		StickyMargin: 0.25,
		FullService:  0.8,
		Weights:      Weights{Load: 1, Prefix: 1, Distance: 1, Latency: 0.1, Adapter: 1, Priority: 1},
		Costs: Costs{
			FullLoad: 0.2, Waiting: 2, Block: 0.01,
			SameRegion: 0.01, OtherRegion: 0.3, AdapterLoad: 0.5, NoPriority: 0.1,
		},
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	c.Entries = cmp.Or(c.Entries, d.Entries)
	c.MaxAge = cmp.Or(c.MaxAge, d.MaxAge)
	c.QueueFactor = cmp.Or(c.QueueFactor, d.QueueFactor)
	c.ScanLimit = cmp.Or(c.ScanLimit, d.ScanLimit)
	c.Sample = cmp.Or(c.Sample, d.Sample)
	c.Finalists = cmp.Or(c.Finalists, d.Finalists)
	c.StickyMargin = cmp.Or(c.StickyMargin, d.StickyMargin)
	c.FullService = cmp.Or(c.FullService, d.FullService)
	c.Weights = cmp.Or(c.Weights, d.Weights)
	c.Costs = cmp.Or(c.Costs, d.Costs)
	c.Finalists = min(c.Finalists, maxFinalists)
	return c
}
