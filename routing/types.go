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

// Role is the inference phase that an engine runs. The zero value is equivalent
// to RoleBoth.
type Role string

// Roles of model engines.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Model identifies a model that an engine has loaded. An empty Adapter means the
// base model.
type Model struct {
	Name, Version, Adapter string
}

// Load is the latest load report of an upstream.
type Load struct {
	// Running and Queued count requests.
	Running, Queued int
	// KVUse is the utilization of the engine's KV cache, 0 to 1.
	KVUse float64
	// At is the latest possible send time of the report: the local time of
	// arrival minus the age that the report had on arrival.
	At time.Time
}

// Group is the replica group in which an upstream is active.
type Group struct {
	ID    string
	Epoch uint64
	Rank  int
	// Complete is set if all members are present with the committed incarnation
	// and epoch.
	Complete bool
	// ConfirmedAt is the send time of the latest confirmation of the member whose
	// latest confirmation is oldest.
	ConfirmedAt time.Time
}

// Candidate describes an upstream as seen by membership and the replica groups.
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
	// Priorities is set if the engine prioritizes paying requests over free ones.
	Priorities bool
	// MaxConcurrent is the batch size of the engine; 0 counts as 1.
	MaxConcurrent int
	Load          Load
	Group         Group
}

// Request describes a request to be routed.
type Request struct {
	Service string
	// Model and Version restrict the choice if they are not empty; engines with
	// the Adapter loaded are preferred.
	Model, Version, Adapter string
	// AdapterRequired restricts the choice to engines that have the adapter
	// loaded.
	AdapterRequired bool
	// Role is the inference phase that the engine must support.
	Role   Role
	Paying bool
	// NeedsGroup restricts the choice to rank 0 of complete groups.
	NeedsGroup bool
	// Excluded holds the ids of the upstreams that earlier attempts used.
	Excluded []string
	// Pinned restricts the choice to one upstream if it is not empty.
	Pinned string
	// Isolate is set for requests suspected of crashing upstreams. It reports
	// whether the request may run on an upstream.
	Isolate func(upstream string) bool
	// Limited reports whether an upstream is at the limit that it has named. It is
	// nil if none has named one.
	Limited func(upstream string, incarnation uint64) bool
	// Prefix holds the block hashes of the prompt; see BlockHashes.
	Prefix []uint64
}

// Errors of a pick.
var (
	// ErrUnknownService means that no upstream of the table serves the service
	// and model.
	ErrUnknownService = errors.New("no upstream serves this service and model")
	// ErrExhausted means that an upstream was rejected for lack of capacity
	// alone, so that the caller may wait and try again.
	ErrExhausted = errors.New("every suitable upstream is at capacity")
	// ErrNoUpstream means that the filters removed every upstream.
	ErrNoUpstream = errors.New("no suitable upstream")
)

// Config configures a Router. Zero fields take their values from DefaultConfig.
type Config struct {
	// FailureDomain and Region are those of the entry.
	FailureDomain, Region string
	// Entries is the number of entries that route to the same upstreams.
	Entries int
	// MaxAge is the age from which load reports and group confirmations are too
	// old for their upstream to receive requests.
	MaxAge time.Duration
	// QueueFactor is the load, as a multiple of MaxConcurrent, at which an
	// upstream counts as full.
	QueueFactor float64
	// ScanLimit is the maximum pool size for which all upstreams are scored.
	ScanLimit int
	// Sample is the number of upstreams scored in larger pools, besides those
	// that the prefix index proposes.
	Sample int
	// Finalists is the number of upstreams with the lowest cost from which the
	// pick draws two, at most 16.
	Finalists int
	// StickyMargin is how far the load of an upstream that holds the prefix, as a
	// fraction of MaxConcurrent, may exceed the mean load of the scored upstreams
	// for it to be chosen for its prefix.
	StickyMargin float64
	// FreedSlotThreshold is the mean load of the scored upstreams, as a fraction
	// of their batch sizes, from which a request is sent to the upstream that has
	// just finished one.
	FreedSlotThreshold float64
	// Weights are the weights of the scores.
	Weights Weights
	// Costs are the estimated delays from which the scores are computed.
	Costs Costs
}

// Weights multiply the scores of the same names; 1 leaves the estimate
// unchanged.
type Weights struct {
	Load, Prefix, Distance, Latency, Adapter, Priority float64
}

// Costs are the estimated contributions to the first-token delay, in seconds.
type Costs struct {
	// FullLoad is the delay at an upstream with a full batch.
	FullLoad float64
	// Waiting is the delay for each batch of waiting requests.
	Waiting float64
	// Block is the time to compute one uncached block of the prompt.
	Block float64
	// SameRegion and OtherRegion are the network delays to upstreams outside the
	// entry's failure domain.
	SameRegion, OtherRegion float64
	// AdapterLoad is the time to load an adapter.
	AdapterLoad float64
	// NoPriority is the delay of paying requests at a full upstream that ignores
	// priorities.
	NoPriority float64
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		Entries:            1,
		MaxAge:             3 * time.Second,
		QueueFactor:        2,
		ScanLimit:          96,
		Sample:             32,
		Finalists:          16,
		StickyMargin:       0.25,
		FreedSlotThreshold: 0.8,
		Weights:            Weights{Load: 1, Prefix: 1, Distance: 1, Latency: 0.1, Adapter: 1, Priority: 1},
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
	c.FreedSlotThreshold = cmp.Or(c.FreedSlotThreshold, d.FreedSlotThreshold)
	c.Weights = cmp.Or(c.Weights, d.Weights)
	c.Costs = cmp.Or(c.Costs, d.Costs)
	c.Finalists = min(c.Finalists, maxFinalists)
	return c
}
