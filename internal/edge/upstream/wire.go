// Package upstream implements the HTTP protocol between daemons and upstreams.
// The server receives announcements, heartbeats and cache events; the client
// sends requests, orders and probes.
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
	// HeaderRequestLimit names the requests per second that an upstream accepts
	// from all entries together, for as long as its answers carry it.
	HeaderRequestLimit = "Bluebell-Request-Limit"
	// HeaderLeaving with the value 1 says that an upstream is leaving and takes no
	// new requests.
	HeaderLeaving = "Bluebell-Leaving"
	// HeaderForwardedKey carries the caller's Idempotency-Key to an upstream
	// whose service settings ask for it. Under the original name net/http would
	// treat the request as safe to resend.
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

// OrderKind is the action that an order requests from a model engine.
type OrderKind string

// Kinds of order.
const (
	OrderForm OrderKind = "form"
	// OrderRelease requests that an engine leave its group.
	OrderRelease OrderKind = "release"
	// OrderLoad requests that an engine preload model weights.
	OrderLoad OrderKind = "load"
)

// Member is an instance of a replica group and the address at which the other
// members reach it.
type Member struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// Order tells a model engine to join or leave a replica group, or to load a model.
// Epoch is the fencing token: an engine that announces fencing rejects an order
// whose epoch is lower than one it has seen.
type Order struct {
	ID      string           `json:"order"`
	Kind    OrderKind        `json:"kind"`
	Group   string           `json:"group"`
	Epoch   uint64           `json:"epoch"`
	Rank    int              `json:"rank"`
	Members []Member         `json:"members,omitempty"`
	Model   membership.Model `json:"model"`
}

// OrderResult is the reply to an order: the group membership after it.
type OrderResult struct {
	InForce membership.GroupRef `json:"inForce"`
}

// StateReply is the reply to a state probe.
type StateReply struct {
	Announcement membership.Announcement `json:"announcement"`
	Heartbeat    membership.Heartbeat    `json:"heartbeat"`
}

// CacheEventKind says what happened to a prefix block.
type CacheEventKind string

// Kinds of cache event.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent reports that an engine stored or evicted a prefix block.
type CacheEvent struct {
	Kind CacheEventKind `json:"kind"`
	Hash uint64         `json:"hash"`
}

// CacheEvents is a batch of cache events. FirstSequence is the sequence number of
// the first one. A gap in the numbers between batches means lost events.
type CacheEvents struct {
	ID            string       `json:"id"`
	Incarnation   uint64       `json:"incarnation"`
	FirstSequence uint64       `json:"firstSequence"`
	Events        []CacheEvent `json:"events"`
}
