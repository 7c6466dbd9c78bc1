package operator

import "time"

// Upstream is a row of GET /v1/upstreams.
type Upstream struct {
	ID              string   `json:"id"`
	Kind            string   `json:"kind"`
	Services        []string `json:"services"`
	FailureDomain   string   `json:"failureDomain"`
	FabricDomain    string   `json:"fabricDomain,omitempty"`
	Address         string   `json:"address"`
	State           string   `json:"state"`
	Incarnation     uint64   `json:"incarnation"`
	AgeMS           int64    `json:"ageMs"`
	Running         int      `json:"running"`
	Queued          int      `json:"queued"`
	KVUse           float64  `json:"kvUse"`
	TokensPerSecond float64  `json:"tokensPerSecond"`
	Group           string   `json:"group,omitempty"`
	Epoch           uint64   `json:"epoch,omitempty"`
	// Admitted is the fraction of its normal load that the upstream receives: 1 if
	// it is healthy, 0 if it is ejected.
	Admitted float64 `json:"admitted"`
}

// Group is a row of GET /v1/groups.
type Group struct {
	ID            string    `json:"id"`
	Service       string    `json:"service"`
	FailureDomain string    `json:"failureDomain"`
	FabricDomain  string    `json:"fabricDomain,omitempty"`
	ModelVersion  string    `json:"modelVersion,omitempty"`
	Epoch         uint64    `json:"epoch"`
	Phase         string    `json:"phase"`
	Members       []string  `json:"members"`
	Serving       bool      `json:"serving"`
	Since         time.Time `json:"since,omitzero"`
	Reason        string    `json:"reason,omitempty"`
}

// Queue is a row of GET /v1/queues.
type Queue struct {
	Service  string `json:"service"`
	Account  string `json:"account"`
	Class    string `json:"class"`
	Queued   int    `json:"queued"`
	Size     int    `json:"size"`
	Running  int    `json:"running"`
	OldestMS int64  `json:"oldestMs"`
	Refused  uint64 `json:"refused"`
}

// Limit is a row of GET /v1/limits.
type Limit struct {
	Path  string  `json:"path"`
	Key   string  `json:"key"`
	Limit float64 `json:"limit"`
	// Share is the part of the limit that is allotted to this entry instance.
	Share   float64 `json:"share"`
	Used    float64 `json:"used"`
	Owner   string  `json:"owner"`
	LeaseMS int64   `json:"leaseMs"`
}

// Quarantine is a row of GET /v1/quarantines.
type Quarantine struct {
	Digest  string    `json:"digest"`
	Account string    `json:"account"`
	Service string    `json:"service"`
	State   string    `json:"state"`
	Crashes int       `json:"crashes"`
	Until   time.Time `json:"until,omitzero"`
}

// Peer is a row of GET /v1/peers.
type Peer struct {
	ID            string   `json:"id"`
	FailureDomain string   `json:"failureDomain"`
	Region        string   `json:"region,omitempty"`
	Address       string   `json:"address"`
	Roles         []string `json:"roles"`
	Connected     bool     `json:"connected"`
	RTTMS         float64  `json:"rttMs,omitempty"`
	LastSeenMS    int64    `json:"lastSeenMs"`
	Queued        int      `json:"queued"`
	Dropped       uint64   `json:"dropped"`
	Error         string   `json:"error,omitempty"`
}

// Trace is a row of GET /v1/traces.
type Trace struct {
	TraceID    string    `json:"traceId"`
	RequestID  string    `json:"requestId"`
	Account    string    `json:"account,omitempty"`
	Service    string    `json:"service,omitempty"`
	Start      time.Time `json:"start"`
	DurationMS float64   `json:"durationMs"`
	Outcome    string    `json:"outcome,omitempty"`
	Code       string    `json:"code,omitempty"`
	Spans      []Span    `json:"spans"`
}

// Span is one span of a Trace.
type Span struct {
	Name       string            `json:"name"`
	StartMS    float64           `json:"startMs"`
	DurationMS float64           `json:"durationMs"`
	Peer       string            `json:"peer,omitempty"`
	Error      string            `json:"error,omitempty"`
	Attributes map[string]string `json:"attributes,omitempty"`
}

// Status is the response to GET /v1/status.
type Status struct {
	ID            string      `json:"id"`
	FailureDomain string      `json:"failureDomain"`
	Region        string      `json:"region,omitempty"`
	Roles         []string    `json:"roles"`
	UptimeS       float64     `json:"uptimeSeconds"`
	Ready         bool        `json:"ready"`
	Draining      bool        `json:"draining"`
	Revision      uint64      `json:"revision"`
	Upstreams     int         `json:"upstreams"`
	Running       int         `json:"running"`
	Logs          []LogStatus `json:"logs"`
}

// LogStatus is the state of one replicated log on a daemon.
type LogStatus struct {
	Log     string `json:"log"`
	Role    string `json:"role"`
	Term    uint64 `json:"term"`
	Leader  string `json:"leader"`
	Commit  uint64 `json:"commit"`
	Applied uint64 `json:"applied"`
	Error   string `json:"error,omitempty"`
}

// Voter is a row of GET /v1/voters.
type Voter struct {
	Log       string `json:"log"`
	ID        string `json:"id"`
	StorageID string `json:"storageId"`
	Learner   bool   `json:"learner,omitempty"`
	Leader    bool   `json:"leader"`
	// Match is the highest log index that the voter is known to store.
	Match uint64 `json:"match"`
}

// Propagation is the settings revision that a daemon has in force.
type Propagation struct {
	Daemon        string `json:"daemon"`
	FailureDomain string `json:"failureDomain"`
	Revision      uint64 `json:"revision"`
	// AgeMS is the age of this information in milliseconds.
	AgeMS int64  `json:"ageMs"`
	Error string `json:"error,omitempty"`
}

// row is a row of a list query. match reports whether its field for the filter has
// the value.
type row interface {
	match(filter, value string) bool
}

// Query parameters that filter rows.
const (
	filterID      = "id"
	filterService = "service"
	filterAccount = "account"
	filterDomain  = "failureDomain"
)

var filters = []string{filterID, filterService, filterAccount, filterDomain}

func (u Upstream) match(filter, value string) bool {
	switch filter {
	case filterID:
		return u.ID == value
	case filterDomain:
		return u.FailureDomain == value
	case filterService:
		for _, s := range u.Services {
			if s == value {
				return true
			}
		}
	}
	return false
}

func (g Group) match(filter, value string) bool {
	return matchesField(filter, value, g.ID, g.Service, "", g.FailureDomain)
}

func (q Queue) match(filter, value string) bool {
	return matchesField(filter, value, "", q.Service, q.Account, "")
}

func (l Limit) match(filter, value string) bool {
	return matchesField(filter, value, l.Path, "", "", "")
}

func (q Quarantine) match(filter, value string) bool {
	return matchesField(filter, value, q.Digest, q.Service, q.Account, "")
}

func (p Peer) match(filter, value string) bool {
	return matchesField(filter, value, p.ID, "", "", p.FailureDomain)
}

func (t Trace) match(filter, value string) bool {
	return filter == filterID && t.TraceID == value || matchesField(filter, value, t.RequestID, t.Service, t.Account, "")
}

func (v Voter) match(filter, value string) bool {
	return matchesField(filter, value, v.ID, "", "", "")
}

// matchesField compares value with the field that the filter selects.
func matchesField(filter, value, id, service, account, domain string) bool {
	switch filter {
	case filterID:
		return id == value
	case filterService:
		return service == value
	case filterAccount:
		return account == value
	}
	return domain == value
}
