package settings

import (
	"encoding/hex"
	"time"
)

// Limits bound an account, a service, or an account at a service. Zero is no
// limit.
type Limits struct {
	RequestsPerSecond float64
	Concurrent        int64
	TokensPerMinute   int64
}

// Account is the effective description of a client account.
type Account struct {
	ID     string
	Paying bool
	Weight float64
	// Limits hold over all services together.
	Limits Limits
	// ClaimMaxRecords and ClaimMaxStoredBytes bound the idempotency keys that
	// are recorded for the account.
	ClaimMaxRecords     int64
	ClaimMaxStoredBytes int64
}

// Service is the effective description of a service.
type Service struct {
	ID           string
	Model        bool
	ModelName    string
	ModelVersion string
	Adapters     []string
	// Limits hold over all accounts together.
	Limits         Limits
	ReplayContract []Proof
	// PassKeyHeader says that upstreams see Idempotency-Key under its own name.
	PassKeyHeader    bool
	DropHeaders      []string
	Fallback         string
	MaxBodyBytes     int64
	MaxHeaderBytes   int64
	MaxResponseBytes int64
	MaxStreams       int
	Timeout          time.Duration
	MaxQueue         time.Duration
	QueueSize        int
	// RetryBudget and EjectMax are fractions of 1.
	RetryBudget        float64
	EjectMax           float64
	Quarantine         time.Duration
	ConfirmationMaxAge time.Duration
	ChecksFencing      bool
	ChecksOrderAuth    bool

	idempotency routeTable[bool]
}

// Rules are the effective rules of an account at a service.
type Rules struct {
	Paying bool
	Weight float64
	// Limits hold for the account at the service: the smallest of the own
	// limits, the account's and the service's.
	Limits Limits
	// Own is true when the account has a node at the service, so that its
	// limits there are counted apart from those of the account and the service.
	Own bool
}

// GroupPolicy is how replica groups of a service are run in a failure domain.
type GroupPolicy struct {
	GroupSize      int
	ModelVersion   string
	Adapters       []string
	DowntimeWeight float64
	StrandedWeight float64
	RepairPatience time.Duration
	DrainTimeout   time.Duration
}

// Global holds the settings of the whole deployment.
type Global struct {
	ClaimAnswers    time.Duration
	ClaimTombstones time.Duration
	// ClaimMaxRecords and ClaimMaxStoredBytes hold for an account that has no
	// node.
	ClaimMaxRecords     int64
	ClaimMaxStoredBytes int64
	// WeightStoreRate is in bytes per second.
	WeightStoreRate float64
	// Anonymous and UnknownKey are the accounts of callers without a key, and
	// of callers with a key of no account; nil when these are refused.
	Anonymous  *Account
	UnknownKey *Account
}

// RouteMatch is where a route leads.
type RouteMatch struct {
	// Service is nil when ByModel is set.
	Service *Service
	// ByModel means that the model in the request names the service.
	ByModel bool
	// Idempotent says that the request may run more than once. With ByModel,
	// Service.Idempotent of the model's service decides.
	Idempotent bool
}

type servicePair struct{ service, account string }

// views are built once for each tree, so that lookups do not allocate.
type views struct {
	accounts map[string]*Account
	byKey    map[[32]byte]*Account
	services map[string]*Service
	byModel  map[string]*Service
	routes   routeTable[*Service]
	rules    map[servicePair]Rules
	global   Global
}

// Account returns an account by id.
func (t *Tree) Account(id string) (*Account, bool) {
	a, ok := t.views.accounts[id]
	return a, ok
}

// AccountByKeyHash returns the account of a bearer key by the key's SHA-256.
func (t *Tree) AccountByKeyHash(hash [32]byte) (*Account, bool) {
	a, ok := t.views.byKey[hash]
	return a, ok
}

// Service returns a service by id.
func (t *Tree) Service(id string) (*Service, bool) {
	s, ok := t.views.services[id]
	return s, ok
}

// ServiceByModel returns the model service that a request's model names.
func (t *Tree) ServiceByModel(model string) (*Service, bool) {
	s, ok := t.views.byModel[model]
	return s, ok
}

// Global returns the settings of the whole deployment.
func (t *Tree) Global() *Global { return &t.views.global }

// Services returns the ids of all services in order.
func (t *Tree) Services() []string { return unionKeys(t.views.services, nil) }

// Accounts returns the ids of all accounts in order.
func (t *Tree) Accounts() []string { return unionKeys(t.views.accounts, nil) }

// Route returns where a request leads by method and path, false when no
// service has the route.
func (t *Tree) Route(method, path string) (RouteMatch, bool) {
	if path == ChatPath && len(t.views.byModel) > 0 {
		return RouteMatch{ByModel: true, Idempotent: true}, true
	}
	s, ok := t.views.routes.find(method, path)
	if !ok {
		return RouteMatch{}, false
	}
	return RouteMatch{Service: s, Idempotent: s.Idempotent(method, path)}, true
}

// Idempotent reports whether a request of the service may run more than once.
func (s *Service) Idempotent(method, path string) bool {
	if idempotent, ok := s.idempotency.find(method, path); ok {
		return idempotent
	}
	switch method {
	case "GET", "HEAD", "PUT", "DELETE", "OPTIONS":
		return true
	}
	return s.Model && isChatPath(path)
}

// Rules returns the effective rules of an account at a service.
func (t *Tree) Rules(a *Account, s *Service) Rules {
	if r, ok := t.views.rules[servicePair{s.ID, a.ID}]; ok {
		return r
	}
	return Rules{Paying: a.Paying, Weight: a.Weight, Limits: a.Limits.min(s.Limits)}
}

func (l Limits) min(m Limits) Limits {
	return Limits{
		RequestsPerSecond: minLimit(l.RequestsPerSecond, m.RequestsPerSecond),
		Concurrent:        minLimit(l.Concurrent, m.Concurrent),
		TokensPerMinute:   minLimit(l.TokensPerMinute, m.TokensPerMinute),
	}
}

func minLimit[T float64 | int64](a, b T) T {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// GroupPolicy returns how groups of a service are run in a failure domain.
func (t *Tree) GroupPolicy(domain, service string) GroupPolicy {
	r := t.reader(DomainServicePath(domain, service))
	return GroupPolicy{
		GroupSize:      int(r.int(KeyGroupSize)),
		ModelVersion:   r.text(KeyModelVersion),
		Adapters:       r.list(KeyAdapters),
		DowntimeWeight: r.float(KeyDowntimeWeight),
		StrandedWeight: r.float(KeyStrandedWeight),
		RepairPatience: r.millis(KeyRepairPatienceMS),
		DrainTimeout:   r.millis(KeyDrainTimeoutMS),
	}
}

// WeightStoreRate returns the bytes per second that one of several failure
// domains may read from the weight store. Domains without a share of their own
// divide what is left evenly.
func (t *Tree) WeightStoreRate(domain string, domains []string) float64 {
	rate := t.views.global.WeightStoreRate
	left, without := 100.0, 0
	for _, d := range domains {
		share := t.nodes[DomainPath(d)][KeyWeightStoreShare].number
		left -= share
		if share == 0 {
			without++
		}
	}
	if own := t.nodes[DomainPath(domain)][KeyWeightStoreShare].number; own > 0 {
		return rate * own / 100
	}
	return rate * max(left, 0) / 100 / float64(max(without, 1))
}

// reader reads effective values at one location.
type reader struct {
	tree  *Tree
	at    location
	chain []string
}

func (t *Tree) reader(path string) reader {
	at, _ := parsePath(path)
	return newReader(t, at)
}

func newReader(t *Tree, at location) reader {
	return reader{tree: t, at: at, chain: at.chain()}
}

func (r reader) value(key string) Value {
	v, _ := r.tree.effective(r.chain, schemaByName[key])
	return v
}

func (r reader) float(key string) float64  { return r.value(key).number }
func (r reader) int(key string) int64      { return r.value(key).Int() }
func (r reader) text(key string) string    { return r.value(key).text }
func (r reader) list(key string) []string  { return r.value(key).Items() }
func (r reader) is(key, value string) bool { return r.text(key) == value }

func (r reader) millis(key string) time.Duration {
	return time.Duration(r.int(key)) * time.Millisecond
}

func (r reader) seconds(key string) time.Duration {
	return time.Duration(r.int(key)) * time.Second
}

func (r reader) limits() Limits {
	return Limits{
		RequestsPerSecond: r.float(KeyMaxRequestsPerSecond),
		Concurrent:        r.int(KeyMaxConcurrent),
		TokensPerMinute:   r.int(KeyMaxTokensPerMinute),
	}
}

func buildViews(t *Tree) views {
	v := views{
		accounts: map[string]*Account{},
		byKey:    map[[32]byte]*Account{},
		services: map[string]*Service{},
		byModel:  map[string]*Service{},
		rules:    map[servicePair]Rules{},
	}
	for path := range t.nodes {
		at, ok := parsePath(path)
		if !ok {
			continue
		}
		r := newReader(t, at)
		switch at.kind {
		case NodeAccount:
			v.addAccount(r)
		case NodeService:
			v.addService(r)
		case NodeServiceAccount:
			v.rules[servicePair{at.first, at.second}] = Rules{
				Paying: r.is(KeyClass, ClassPaying), Weight: r.float(KeyWeight), Limits: r.limits(), Own: true,
			}
		}
	}
	for id, s := range v.services {
		if s.Model {
			v.byModel[id] = s
		}
	}
	for _, s := range v.services {
		if s.Model && s.ModelName != "" {
			v.byModel[s.ModelName] = s
		}
	}
	v.addGlobal(t)
	return v
}

func (v *views) addGlobal(t *Tree) {
	r := t.reader(RootPath)
	v.global = Global{
		ClaimAnswers:        time.Duration(r.int(KeyClaimAnswerHours)) * time.Hour,
		ClaimTombstones:     time.Duration(r.int(KeyClaimTombstoneDays)) * 24 * time.Hour,
		ClaimMaxRecords:     r.int(KeyClaimMaxRecords),
		ClaimMaxStoredBytes: r.int(KeyClaimMaxStoredBytes),
		WeightStoreRate:     t.reader(GroupsPath).float(KeyWeightStoreRate),
	}
	anonymous := v.accounts[AnonymousAccount]
	if anonymous == nil {
		anonymous = newAccount(t.reader(AccountPath(AnonymousAccount)))
		anonymous.Paying = false
	}
	if r.is(KeyAnonymous, CallerFree) {
		v.global.Anonymous = anonymous
	}
	if r.is(KeyUnknownKey, CallerFree) {
		v.global.UnknownKey = anonymous
	}
}

func newAccount(r reader) *Account {
	return &Account{
		ID:                  r.at.first,
		Paying:              r.is(KeyClass, ClassPaying),
		Weight:              r.float(KeyWeight),
		Limits:              r.limits(),
		ClaimMaxRecords:     r.int(KeyClaimMaxRecords),
		ClaimMaxStoredBytes: r.int(KeyClaimMaxStoredBytes),
	}
}

func (v *views) addAccount(r reader) {
	a := newAccount(r)
	v.accounts[a.ID] = a
	for _, text := range r.list(KeyKeyHashes) {
		var hash [32]byte
		if n, err := hex.Decode(hash[:], []byte(text)); err == nil && n == len(hash) {
			v.byKey[hash] = a
		}
	}
}

func (v *views) addService(r reader) {
	s := &Service{
		ID:                 r.at.first,
		Model:              r.is(KeyKind, KindModel),
		ModelName:          r.text(KeyModel),
		ModelVersion:       r.text(KeyModelVersion),
		Adapters:           r.list(KeyAdapters),
		Limits:             r.limits(),
		PassKeyHeader:      r.is(KeyIdempotencyKeyHeader, HeaderPass),
		DropHeaders:        r.list(KeyDropHeaders),
		Fallback:           r.text(KeyFallbackService),
		MaxBodyBytes:       r.int(KeyMaxBodyBytes),
		MaxHeaderBytes:     r.int(KeyMaxHeaderBytes),
		MaxResponseBytes:   r.int(KeyMaxResponseBytes),
		MaxStreams:         int(r.int(KeyMaxStreams)),
		Timeout:            r.millis(KeyTimeoutMS),
		MaxQueue:           r.millis(KeyMaxQueueMS),
		QueueSize:          int(r.int(KeyQueueSize)),
		RetryBudget:        r.float(KeyRetryBudgetPercent) / 100,
		EjectMax:           r.float(KeyEjectMaxPercent) / 100,
		Quarantine:         r.seconds(KeyQuarantineSeconds),
		ConfirmationMaxAge: r.millis(KeyConfirmationMaxAgeMS),
		ChecksFencing:      r.is(KeyChecksFencing, CheckYes),
		ChecksOrderAuth:    r.is(KeyChecksOrderAuth, CheckYes),
	}
	for _, text := range r.list(KeyReplayContract) {
		if p, ok := ParseProof(text); ok {
			s.ReplayContract = append(s.ReplayContract, p)
		}
	}
	addRoutes(&s.idempotency, r.list(KeyIdempotent), true)
	addRoutes(&s.idempotency, r.list(KeyNonIdempotent), false)
	addRoutes(&v.routes, r.list(KeyRoutes), s)
	v.services[s.ID] = s
}
