// Package membership keeps the leases of upstreams, exchanges them with other
// daemons, and decides which upstreams may receive requests. It reads no clock
// and opens no connection; callers pass in the time.
package membership

// State is the serving state that an upstream reports.
type State string

// Values of State.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Leaving  State = "leaving"
)

// Kind distinguishes model engines from plain services.
type Kind string

// Values of Kind.
const (
	ModelEngine  Kind = "model"
	PlainService Kind = "plain"
)

// Role specifies which phases of inference a model engine runs.
type Role string

// Values of Role.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Model identifies a model that an engine has loaded.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
}

// Features lists the optional parts of the engine protocol that an upstream
// implements. An engine that does not announce Fencing is assumed to ignore
// fencing numbers.
type Features struct {
	Fencing    bool `json:"fencing,omitempty"`
	Priorities bool `json:"priorities,omitempty"`
	Resume     bool `json:"resume,omitempty"`
	Cancel     bool `json:"cancel,omitempty"`
	KVTransfer bool `json:"kvTransfer,omitempty"`
	OrderAuth  bool `json:"orderAuth,omitempty"`
	// Echo reports whether heartbeats return the echo of the last lease. The age
	// of a report is then measured from a time that no message delay can make too
	// recent.
	Echo bool `json:"echo,omitempty"`
}

// Announcement describes an upstream. An upstream sends it when it starts, when
// its description changes, and when it has lost its registrars.
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
	// MaxConcurrent is the maximum number of requests that the upstream runs at
	// once.
	MaxConcurrent int   `json:"maxConcurrent"`
	State         State `json:"state"`
	// Sequence comes from the same counter as Heartbeat.Sequence, so that a late
	// announcement does not replace a newer report.
	Sequence uint64 `json:"sequence,omitempty"`
	// Avoid lists registrars that the upstream cannot reach.
	Avoid []string `json:"avoid,omitempty"`
}

// GroupRef is the replica group assignment that an upstream has in force. The
// zero value means that it is in no group.
type GroupRef struct {
	Group string `json:"group,omitempty"`
	Epoch uint64 `json:"epoch,omitempty"`
	Rank  int    `json:"rank,omitempty"`
}

// Heartbeat renews a lease and reports load. Sequence increases with each
// heartbeat of an incarnation, so that an older report never replaces a newer
// one.
type Heartbeat struct {
	ID              string   `json:"id"`
	Incarnation     uint64   `json:"incarnation"`
	Sequence        uint64   `json:"sequence"`
	State           State    `json:"state"`
	Running         int      `json:"running"`
	Queued          int      `json:"queued"`
	KVUse           float64  `json:"kvUse"`
	TokensPerSecond float64  `json:"tokensPerSecond"`
	InForce         GroupRef `json:"inForce"`
	// Echo is the echo of the last lease from the registrar to which the heartbeat
	// is sent, and EchoAgeMillis the time since that lease arrived.
	Echo          string `json:"echo,omitempty"`
	EchoAgeMillis int64  `json:"echoAgeMillis,omitempty"`
}

// Registrar is a daemon that holds an upstream's lease.
type Registrar struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// Lease is the response to an announcement or a heartbeat.
type Lease struct {
	Registrars      []Registrar `json:"registrars"`
	HeartbeatMillis int         `json:"heartbeatMillis"`
	LeaseMillis     int         `json:"leaseMillis"`
	// Announce asks the upstream to announce itself again because the registrar
	// does not know its incarnation.
	Announce bool `json:"announce,omitempty"`
	// Echo is an opaque timestamp of the registrar, to be returned in the next
	// heartbeat.
	Echo string `json:"echo,omitempty"`
}
