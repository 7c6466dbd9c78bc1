package membership

// Batch is a message from one daemon to another. It carries changes to the set
// of upstreams whose leases the sender holds, their liveness, and their load.
// Times are milliseconds since the sender's registry was created.
type Batch struct {
	Incarnation uint64
	// Clock is the sender's time when it sent the batch.
	Clock int64
	// PeerIncarnation is the receiver's incarnation as known to the sender, Echo
	// the newest Clock value that the sender has received from it, and EchoHold
	// the time since then. From these the receiver derives a bound on the clock
	// offset.
	PeerIncarnation uint64
	Echo, EchoHold  int64
	// Have is the newest change of the receiver that the sender has merged. Resync
	// requests the changes after it.
	Have   uint64
	Resync bool
	// Stopping reports that the sender is shutting down and grants no new leases.
	Stopping bool

	// Records are the differences between the sender's set at change From and at
	// change To. If Full is set, they are the complete set at change To.
	Full     bool
	From, To uint64
	Records  []Record
	// AllAge is the maximum age, at Clock, of the last report of every upstream in
	// the set that is not listed in Except.
	AllAge int64
	Except []SlotAge
	Loads  []SlotLoad
}

// Record is one changed slot of the sender's set.
type Record struct {
	Slot uint32
	// Dropped reports that the slot is empty. The other fields are then unset.
	Dropped     bool
	ID          string
	Incarnation uint64
	// Sequence is the sequence of the report that last changed State or InForce.
	Sequence uint64
	State    State
	InForce  GroupRef
	// Announcement is set if it changed after Batch.From.
	Announcement *Announcement
	Load         Load
}

// Load is the load that an upstream reports.
type Load struct {
	Sequence        uint64
	Running         int
	Queued          int
	KVUse           float64
	TokensPerSecond float64
}

// SlotAge is the age of the last report of a slot in milliseconds, or negative
// if there was none.
type SlotAge struct {
	Slot uint32
	Age  int64
}

// SlotLoad is the load of a slot.
type SlotLoad struct {
	Slot uint32
	Load Load
}

// slotLoadBytes is the encoded size of a SlotLoad with two-byte numbers.
const slotLoadBytes = 20

// Outgoing is a batch and the id of the daemon to which it is sent.
type Outgoing struct {
	To    string
	Batch Batch
}

// Probe is a state request to an upstream (GET /v1/state).
type Probe struct {
	ID      string
	Address string
}

// EventKind is the kind of an Event.
type EventKind int

// Values of EventKind.
const (
	// Joined means that an unknown upstream reported for the first time.
	Joined EventKind = iota
	// Restarted means that a newer incarnation replaced the known one.
	Restarted
	// Changed means that the state or the group in force changed.
	Changed
	// Lost means that the last report reached the age bound.
	Lost
	// Returned means that a lost upstream reported again in the same incarnation.
	Returned
	// Removed means that the upstream was removed from the view.
	Removed
)

// Event is a change of an upstream in the view of this daemon.
type Event struct {
	Kind        EventKind
	ID          string
	Incarnation uint64
}

// Output is the result of Registry.Tick: the batches and probes to send, and the
// events since the last call.
type Output struct {
	Batches []Outgoing
	Probes  []Probe
	Events  []Event
}

// Peer identifies another daemon.
type Peer struct {
	ID string
	// Address is the address at which upstreams reach the daemon.
	Address       string
	FailureDomain string
}
