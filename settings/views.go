package settings

import (
	"encoding/hex"
	"time"
)

// Limits are the limits of an account, of a service, or of an account at a
// service. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64
	Concurrent        int64
	TokensPerMinute   int64
}

// Account holds the effective settings of a client account.
type Account struct {
	ID     string
	Paying bool
	Weight float64
	// Limits apply to the total over all services.
	Limits Limits
	// ClaimMaxRecords and ClaimMaxStoredBytes limit the idempotency keys and
	// the stored answers of the account.
	ClaimMaxRecords     int64
	ClaimMaxStoredBytes int64
}

// Service holds the effective settings of a service.
type Service struct {
	ID           string
	Model        bool
	ModelName    string
	ModelVersion string
	Adapters     []string
	// Limits apply to the total over all accounts.
	Limits         Limits
	ReplayContract []NotStartedResponse
	// PassKeyHeader is true if Idempotency-Key is forwarded to upstreams under
	// its own name.
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
	// RetryBudget and EjectMax are fractions between 0 and 1.
	RetryBudget        float64
	EjectMax           float64
	Quarantine         time.Duration
	ConfirmationMaxAge time.Duration
	ChecksFencing      bool
	ChecksOrderAuth    bool

	idempotency routeTable[bool]
}

// Rules are the effective settings of an account at a service.
type Rules struct {
	Paying bool
	Weight float64
	// Limits apply to the account at the service. Each is the smallest of those
	// set for the pair, for the account and for the service.
	Limits Limits
	// HasOwnLimits is true if the account has a node at the service. Its limits
	// there are then counted separately from those of the account and of the
	// service.
	HasOwnLimits bool
}

// GroupPolicy holds the effective settings for the replica groups of a service
// in a failure domain.
type GroupPolicy struct {
	GroupSize      int
	ModelVersion   string
	Adapters       []string
	DowntimeWeight float64
	StrandedWeight float64
	RepairPatience time.Duration
	DrainTimeout   time.Duration
}

// Global holds the effective settings of the whole deployment.
type Global struct {
	ClaimAnswers    time.Duration
	ClaimTombstones time.Duration
	// ClaimMaxRecords and ClaimMaxStoredBytes apply to accounts without a node.
	ClaimMaxRecords     int64
	ClaimMaxStoredBytes int64
	// WeightStoreRate is in bytes per second.
	WeightStoreRate float64
	// Anonymous is the account of callers without a key, and UnknownKey that of
	// callers whose key belongs to no account. Each is nil if such callers are
	// refused.
	Anonymous  *Account
	UnknownKey *Account
}

// RouteMatch is the result of routing a request.
type RouteMatch struct {
	// Service is nil when ByModel is set.
	Service *Service
	// ByModel means that the model named in the request selects the service.
	ByModel bool
	// Idempotent is true if the request may run more than once. With ByModel,
	// call Idempotent of the service that the model selects instead.
	Idempotent bool
}

type serviceAccount struct{ service, account string }

// views are precomputed for each tree, so that lookups do not allocate.
type views struct {
	accounts          map[string]*Account
	accountsByKeyHash map[[32]byte]*Account
	services          map[string]*Service
	servicesByModel   map[string]*Service
	routes            routeTable[*Service]
	rules             map[serviceAccount]Rules
	global            Global
}

// Account returns an account by id.
func (t *Tree) Account(id string) (*Account, bool) {
	a, ok := t.views.accounts[id]
	return a, ok
}

// AccountByKeyHash returns the account that owns a bearer key, given the key's
// SHA-256 digest.
func (t *Tree) AccountByKeyHash(hash [32]byte) (*Account, bool) {
	a, ok := t.views.accountsByKeyHash[hash]
	return a, ok
}

// Service returns a service by id.
func (t *Tree) Service(id string) (*Service, bool) {
	s, ok := t.views.services[id]
	return s, ok
}

// ServiceByModel returns the model service with a model name or id.
func (t *Tree) ServiceByModel(model string) (*Service, bool) {
	s, ok := t.views.servicesByModel[model]
	return s, ok
}

// Global returns the settings of the whole deployment.
func (t *Tree) Global() *Global { return &t.views.global }

// Services returns the ids of all services in sorted order.
func (t *Tree) Services() []string { return sortedKeyUnion(t.views.services, nil) }

// Accounts returns the ids of all accounts in sorted order.
func (t *Tree) Accounts() []string { return sortedKeyUnion(t.views.accounts, nil) }

// Route matches a request by method and path. It returns false if no service
// has a matching route.
func (t *Tree) Route(method, path string) (RouteMatch, bool) {
	if path == ChatPath && len(t.views.servicesByModel) > 0 {
		return RouteMatch{ByModel: true, Idempotent: true}, true
	}
	s, ok := t.views.routes.lookup(method, path)
	if !ok {
		return RouteMatch{}, false
	}
	return RouteMatch{Service: s, Idempotent: s.Idempotent(method, path)}, true
}

// Idempotent reports whether a request to the service may run more than once.
func (s *Service) Idempotent(method, path string) bool {
	if idempotent, ok := s.idempotency.lookup(method, path); ok {
		return idempotent
	}
	switch method {
	case "GET", "HEAD", "PUT", "DELETE", "OPTIONS":
		return true
	}
	return s.Model && isChatCompletionsPath(path)
}

// Rules returns the effective settings of an account at a service.
func (t *Tree) Rules(a *Account, s *Service) Rules {
	if r, ok := t.views.rules[serviceAccount{s.ID, a.ID}]; ok {
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

// GroupPolicy returns the effective settings for the replica groups of a
// service in a failure domain.
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

// WeightStoreRate returns the rate in bytes per second at which a failure
// domain may read from the weight store. The domains without a configured share
// divide the remaining rate evenly.
func (t *Tree) WeightStoreRate(domain string, domains []string) float64 {
	rate := t.views.global.WeightStoreRate
	remaining, withoutShare := 100.0, 0
	for _, d := range domains {
		share := t.nodes[DomainPath(d)][KeyWeightStoreShare].number
		remaining -= share
		if share == 0 {
			withoutShare++
		}
	}
	if own := t.nodes[DomainPath(domain)][KeyWeightStoreShare].number; own > 0 {
		return rate * own / 100
	}
	return rate * max(remaining, 0) / 100 / float64(max(withoutShare, 1))
}

// reader reads the effective values at a location.
type reader struct {
	tree  *Tree
	loc   location
	chain []string
}

func (t *Tree) reader(path string) reader {
	loc, _ := parsePath(path)
	return newReader(t, loc)
}

func newReader(t *Tree, loc location) reader {
	return reader{tree: t, loc: loc, chain: loc.inheritanceChain()}
}

func (r reader) value(key string) Value {
	v, _ := r.tree.effective(r.chain, schemaByName[key])
	return v
}

func (r reader) float(key string) float64      { return r.value(key).number }
func (r reader) int(key string) int64          { return r.value(key).Int() }
func (r reader) text(key string) string        { return r.value(key).text }
func (r reader) list(key string) []string      { return r.value(key).Items() }
func (r reader) equals(key, value string) bool { return r.text(key) == value }

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
		accounts:          map[string]*Account{},
		accountsByKeyHash: map[[32]byte]*Account{},
		services:          map[string]*Service{},
		servicesByModel:   map[string]*Service{},
		rules:             map[serviceAccount]Rules{},
	}
	for path := range t.nodes {
		loc, ok := parsePath(path)
		if !ok {
			continue
		}
		r := newReader(t, loc)
		switch loc.kind {
		case NodeAccount:
			v.addAccount(r)
		case NodeService:
			v.addService(r)
		case NodeServiceAccount:
			v.rules[serviceAccount{loc.id, loc.childID}] = Rules{
				Paying: r.equals(KeyClass, ClassPaying), Weight: r.float(KeyWeight), Limits: r.limits(), HasOwnLimits: true,
			}
		}
	}
	for id, s := range v.services {
		if s.Model {
			v.servicesByModel[id] = s
		}
	}
	for _, s := range v.services {
		if s.Model && s.ModelName != "" {
			v.servicesByModel[s.ModelName] = s
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
	if r.equals(KeyAnonymous, CallerFree) {
		v.global.Anonymous = anonymous
	}
	if r.equals(KeyUnknownKey, CallerFree) {
		v.global.UnknownKey = anonymous
	}
}

func newAccount(r reader) *Account {
	return &Account{
		ID:                  r.loc.id,
		Paying:              r.equals(KeyClass, ClassPaying),
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
			v.accountsByKeyHash[hash] = a
		}
	}
}

func (v *views) addService(r reader) {
	s := &Service{
		ID:                 r.loc.id,
		Model:              r.equals(KeyKind, KindModel),
		ModelName:          r.text(KeyModel),
		ModelVersion:       r.text(KeyModelVersion),
		Adapters:           r.list(KeyAdapters),
		Limits:             r.limits(),
		PassKeyHeader:      r.equals(KeyIdempotencyKeyHeader, HeaderPass),
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
		ChecksFencing:      r.equals(KeyChecksFencing, CheckYes),
		ChecksOrderAuth:    r.equals(KeyChecksOrderAuth, CheckYes),
	}
	for _, text := range r.list(KeyReplayContract) {
		if p, ok := ParseNotStartedResponse(text); ok {
			s.ReplayContract = append(s.ReplayContract, p)
		}
	}
	addRoutes(&s.idempotency, r.list(KeyIdempotent), true)
	addRoutes(&s.idempotency, r.list(KeyNonIdempotent), false)
	addRoutes(&v.routes, r.list(KeyRoutes), s)
	v.services[s.ID] = s
}
