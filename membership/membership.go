// Package membership keeps the leases of upstreams that announce themselves
// and decides which of them may receive work. It reads no clock and opens no
// connection; callers pass the time in.
package membership

// State is the serving state that an upstream reports of itself.
type State string

// Serving states.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Leaving  State = "leaving"
)

// Kind tells a model engine from a plain service.
type Kind string

// Kinds of upstream.
const (
	ModelEngine  Kind = "model"
	PlainService Kind = "plain"
)

// Role says which phases of inference a model engine runs.
type Role string

// Roles of model engines.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Model names what an engine has loaded.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
}

// Features lists the optional parts of the engine protocol that an upstream
// implements. An engine that does not announce Fencing counts as one that
// ignores fencing numbers.
type Features struct {
	Fencing    bool `json:"fencing,omitempty"`
	Priorities bool `json:"priorities,omitempty"`
	Resume     bool `json:"resume,omitempty"`
	Cancel     bool `json:"cancel,omitempty"`
	KVTransfer bool `json:"kvTransfer,omitempty"`
	OrderAuth  bool `json:"orderAuth,omitempty"`
	// Echo says that heartbeats return the echo of the last lease. The age of
	// information then counts from a time that no delay can make too late.
	Echo bool `json:"echo,omitempty"`
}

// Announcement is what an upstream says of itself when it starts, when its
// description changes, and when it has lost its registrars.
type Announcement struct {
	ID            string   `json:"id"`
	Incarnation   uint64   `json:"incarnation"`
	Address       string   `json:"address"`
	FailureDomain string   `json:"failureDomain"`
	FabricDomain  string   `json:"fabricDomain,omitempty"`
	Kind          Kind     `json:"kind"`
	Services      []string `json:"services"`
	Role          Role     `json:"role,omitempty"`
	Models        []Model  `json:"models,omitempty"`
	Features      Features `json:"features"`
	Accelerators  int      `json:"accelerators,omitempty"`
	// MaxConcurrent is the number of requests that the upstream batches at once.
	MaxConcurrent int   `json:"maxConcurrent"`
	State         State `json:"state"`
	// Sequence is taken from the same counter as the sequence of heartbeats, so
	// that a late announcement does not undo a newer report.
	Sequence uint64 `json:"sequence,omitempty"`
	// Avoid lists registrars that the upstream cannot reach.
	Avoid []string `json:"avoid,omitempty"`
}

// GroupRef names a replica group membership that an upstream has in force.
type GroupRef struct {
	Group string `json:"group,omitempty"`
	Epoch uint64 `json:"epoch,omitempty"`
	Rank  int    `json:"rank,omitempty"`
}

// Heartbeat renews a lease and reports load. Sequence grows by one with each
// heartbeat of an incarnation, so that an older report never replaces a newer.
type Heartbeat struct {
	ID          string   `json:"id"`
	Incarnation uint64   `json:"incarnation"`
	Sequence    uint64   `json:"sequence"`
	State       State    `json:"state"`
	Running     int      `json:"running"`
	Queued      int      `json:"queued"`
	KVUse       float64  `json:"kvUse"`
	TokensPerS  float64  `json:"tokensPerSecond"`
	InForce     GroupRef `json:"inForce"`
	// Echo is the echo of the last lease from the registrar that this heartbeat
	// goes to, and EchoAgeMillis the time since that lease arrived.
	Echo          string `json:"echo,omitempty"`
	EchoAgeMillis int64  `json:"echoAgeMillis,omitempty"`
}

// Registrar is a daemon that holds an upstream's lease.
type Registrar struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// Lease answers an announcement or a heartbeat.
type Lease struct {
	Registrars      []Registrar `json:"registrars"`
	HeartbeatMillis int         `json:"heartbeatMillis"`
	LeaseMillis     int         `json:"leaseMillis"`
	// Announce asks the upstream to announce itself again, because the
	// registrar does not know this incarnation.
	Announce bool `json:"announce,omitempty"`
	// Echo is an opaque mark of the registrar's clock for the next heartbeat.
	Echo string `json:"echo,omitempty"`
}
