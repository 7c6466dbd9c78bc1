package membership

// Batch is what one daemon sends to another: the changes of the set of
// upstreams whose leases it holds, the liveness of that set, and loads. Times
// are milliseconds of the sender's clock, which starts with its registry.
type Batch struct {
	Incarnation uint64
	// Clock is the sender's clock when it sent the batch.
	Clock int64
	// PeerIncarnation is the receiver's incarnation as the sender knows it, Echo
	// the newest clock of the receiver that the sender has seen, and EchoHold
	// the time since then. They give the receiver a bound on the clock offset.
	PeerIncarnation uint64
	Echo, EchoHold  int64
	// Have is the newest change of the receiver that the sender has merged;
	// Resync asks for what follows it.
	Have   uint64
	Resync bool
	// Stopping says that the sender shuts down and takes no new leases.
	Stopping bool

	// Records turn the sender's set as of change From into that of change To.
	// With Full they are the whole set.
	Full     bool
	From, To uint64
	Records  []Record
	// Every upstream of the set reported within AllAge before Clock, except
	// those listed.
	AllAge int64
	Except []SlotAge
	Loads  []SlotLoad
}

// Record is one changed slot of the sender's set.
type Record struct {
	Slot uint32
	// Dropped says that the slot is empty; the other fields are unset.
	Dropped     bool
	ID          string
	Incarnation uint64
	// Sequence is that of the report that last changed State or InForce.
	Sequence uint64
	State    State
	InForce  GroupRef
	// Announcement is set when it changed since From.
	Announcement *Announcement
	Load         Load
}

// Load is the load that an upstream reported.
type Load struct {
	Sequence   uint64
	Running    int
	Queued     int
	KVUse      float64
	TokensPerS float64
}

// SlotAge is the age in milliseconds of the last report of a slot, negative
// when there is none.
type SlotAge struct {
	Slot uint32
	Age  int64
}

// SlotLoad is the load of a slot.
type SlotLoad struct {
	Slot uint32
	Load Load
}

// loadBytes is the encoded size of a SlotLoad with two-byte numbers.
const loadBytes = 20

// Outgoing is a batch and the daemon that it is for.
type Outgoing struct {
	To    string
	Batch Batch
}

// Probe is a direct question to an upstream (GET /v1/state).
type Probe struct {
	ID      string
	Address string
}

// EventKind says what happened to an upstream.
type EventKind int

// Kinds of Event.
const (
	// Joined: a first report of an unknown upstream.
	Joined EventKind = iota
	// Restarted: a newer incarnation replaced the one known.
	Restarted
	// Changed: the state or the group in force changed.
	Changed
	// Lost: the information is older than the age bound.
	Lost
	// Returned: a lost upstream reported again in the same incarnation.
	Returned
	// Removed: the upstream left the view.
	Removed
)

// Event is a change of one upstream as this daemon sees it.
type Event struct {
	Kind        EventKind
	ID          string
	Incarnation uint64
}

// Output is what a registry asks its daemon to do.
type Output struct {
	Batches []Outgoing
	Probes  []Probe
	Events  []Event
}

// Peer is another daemon.
type Peer struct {
	ID string
	// Address is where upstreams reach the daemon.
	Address       string
	FailureDomain string
}
