// Package upstream speaks the HTTP protocol between daemons and upstreams: it
// serves announcements, heartbeats and cache events, and sends requests and
// orders.
package upstream

import "github.com/bluebellfield/bluebellfield/membership"

// Headers of the upstream protocol.
const (
	HeaderRequestID      = "Bluebell-Request-Id"
	HeaderAttempt        = "Bluebell-Attempt"
	HeaderPriority       = "Bluebell-Priority"
	HeaderGroup          = "Bluebell-Group"
	HeaderEpoch          = "Bluebell-Epoch"
	HeaderResumePosition = "Bluebell-Resume-Position"
	HeaderResumeToken    = "Bluebell-Resume-Token"
	HeaderNotStarted     = "Bluebell-Not-Started"
	// HeaderForwardedKey carries the caller's Idempotency-Key to an upstream
	// whose contract asks for it. The original name would make the HTTP
	// transport resend the request by itself.
	HeaderForwardedKey = "Bluebell-Idempotency-Key"
)

// Paths of the upstream protocol.
const (
	PathAnnouncements = "/v1/announcements"
	PathHeartbeats    = "/v1/heartbeats"
	PathCacheEvents   = "/v1/cache-events"
	PathState         = "/v1/state"
	PathOrders        = "/v1/orders"
)

// OrderKind is what an order asks of a model engine.
type OrderKind string

// Kinds of order.
const (
	OrderForm OrderKind = "form"
	// OrderRelease asks an engine to leave whatever group it is in.
	OrderRelease OrderKind = "release"
	// OrderLoad asks for weights to be loaded ahead of need.
	OrderLoad OrderKind = "load"
)

// Member names one instance of a replica group and where the others reach it.
type Member struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// Order tells a model engine to join or leave a replica group. Epoch is the
// fencing number: an engine that announces fencing rejects an order whose
// epoch is lower than one it has seen.
type Order struct {
	ID      string           `json:"order"`
	Kind    OrderKind        `json:"kind"`
	Group   string           `json:"group"`
	Epoch   uint64           `json:"epoch"`
	Rank    int              `json:"rank"`
	Members []Member         `json:"members,omitempty"`
	Model   membership.Model `json:"model"`
}

// OrderResult answers an order with the membership that is in force after it.
type OrderResult struct {
	InForce membership.GroupRef `json:"inForce"`
}

// StateReply answers a direct question about an upstream's state.
type StateReply struct {
	Announcement membership.Announcement `json:"announcement"`
	Heartbeat    membership.Heartbeat    `json:"heartbeat"`
}

// CacheEventKind tells a stored prefix block from an evicted one.
type CacheEventKind string

// Kinds of cache event.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent says that an engine stored or evicted one prefix block.
type CacheEvent struct {
	Kind CacheEventKind `json:"kind"`
	Hash uint64         `json:"hash"`
}

// CacheEvents is a batch of cache events. FirstSequence numbers the first one;
// a jump between batches is a gap.
type CacheEvents struct {
	ID            string       `json:"id"`
	Incarnation   uint64       `json:"incarnation"`
	FirstSequence uint64       `json:"firstSequence"`
	Events        []CacheEvent `json:"events"`
}
