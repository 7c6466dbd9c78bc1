package daemon

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/admission"
	"github.com/bluebellfield/bluebellfield/admission/share"
	"github.com/bluebellfield/bluebellfield/admission/share/sharepb"
	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/internal/edge/caller"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/settings"
)

const (
	channelShares = "shares"
	// admissionTickInterval is the longest delay until an expired deadline
	// or a refilled rate limit takes effect on queued requests. A slot that
	// is released on this entry admits the next request immediately.
	admissionTickInterval = 100 * time.Millisecond
	// DemandReportInterval is the interval at which an entry refreshes the
	// capacity of its services and reports its demand. The cost of both grows
	// with the number of upstreams and accounts, so they do not run on every
	// admission tick.
	DemandReportInterval = 200 * time.Millisecond
	// idleAccountRate is the offered load, in requests per second, below
	// which an account without queued or running requests is no longer
	// active.
	idleAccountRate = 0.001
)

// admitter admits requests on this entry by class, account and service,
// within this entry's shares of the limits.
type admitter struct {
	cfg         *config.Daemon
	network     messenger
	logger      *zap.Logger
	tree        func() *settings.Tree
	liveEntries func() []string
	capacity    func(service string) admission.Capacity

	mu         sync.Mutex
	controller *admission.Controller
	shares     *share.Node
	waiting    map[admission.Ticket]*slot
	running    map[admission.Ticket]*slot
	// active holds the class of each account and service with recent
	// requests on this entry.
	active map[accountService]admission.Class
	// streams counts the queued and running requests of each service on this
	// entry.
	streams map[string]int
	// meanTokens is the mean size of the requests of each service.
	meanTokens map[string]float64
	revision   uint64
	// entryCount is the number of live entries, this one included.
	entryCount int
	// demandReportedAt is the time of the last demand report; zero makes the
	// next tick send one.
	demandReportedAt time.Time
}

type accountService struct{ account, service string }

// slot tracks a request from its submission until it is released.
type slot struct {
	owner     *admitter
	ticket    admission.Ticket
	key       accountService
	admitted  chan error
	preempted chan struct{}
	// latestStart is the latest time at which the request can start and
	// still finish before its deadline.
	latestStart time.Time
}

func newAdmitter(cfg *config.Daemon, incarnation uint64, network messenger, tree func() *settings.Tree, logger *zap.Logger) *admitter {
	now := time.Now()
	a := &admitter{
		cfg: cfg, network: network, logger: logger, tree: tree,
		controller: admission.New(admission.Options{}),
		shares:     share.New(share.Config{ID: cfg.ID, Incarnation: incarnation}, now),
		waiting:    map[admission.Ticket]*slot{}, running: map[admission.Ticket]*slot{}, active: map[accountService]admission.Class{}, streams: map[string]int{}, meanTokens: map[string]float64{},
	}
	network.Handle(channelShares, a.handleMessage)
	return a
}

// Admit implements caller.Admitter.
func (a *admitter) Admit(ctx context.Context, info *caller.RequestInfo) (caller.Slot, error) {
	s, err := a.submit(info)
	if err != nil {
		return nil, err
	}
	select {
	case err := <-s.admitted:
		if err != nil {
			return nil, err
		}
		return s, nil
	case <-ctx.Done():
		s.cancel()
		return nil, fault.Wrap(ctx.Err(), fault.DeadlineExceeded, fault.Location{Step: caller.StepAdmit}, fault.NotRun)
	}
}

func (a *admitter) submit(info *caller.RequestInfo) (*slot, error) {
	now := time.Now()
	tree := a.tree()
	service, ok := tree.Service(info.Route.Service)
	account, known := findAccount(tree, info.Account.ID)
	if !ok || !known {
		return nil, fault.New(fault.NotFound, fault.Location{Step: caller.StepAdmit}, fault.NotRun, "the account or the service was removed")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.streams[service.ID] >= service.MaxStreams {
		return nil, admissionError(admission.TooManyStreams, 0)
	}
	expected := a.estimateRunTime(service.ID, info.Tokens, info.Deadline.Sub(now))
	s := &slot{
		owner: a, key: accountService{account.ID, service.ID}, admitted: make(chan error, 1), preempted: make(chan struct{}),
		latestStart: info.Deadline.Add(-expected),
	}
	rules := a.localRules(now, tree, account, service)
	d := a.controller.Submit(now, admission.Request{
		ID: info.RequestID, Account: account.ID, Service: service.ID, Rules: rules,
		Tokens: info.Tokens, Deadline: info.Deadline, ExpectedRunTime: expected,
	})
	if _, known := a.active[s.key]; !known {
		a.demandReportedAt = time.Time{} // report at the next tick: the account's limits need shares
	}
	a.active[s.key] = rules.Class
	a.rejectQueued(d.Dropped)
	s.ticket = d.Ticket
	switch d.Verdict {
	case admission.Admitted:
		s.admitted <- nil
		a.running[s.ticket] = s
	case admission.Queued:
		a.waiting[s.ticket] = s
		a.preempt(now)
	default:
		return nil, admissionError(d.Reason, d.RetryAfter)
	}
	a.streams[s.key.service]++
	return s, nil
}

const (
	// tokensWeight is the weight of a request in the mean size of a service's
	// requests.
	tokensWeight = 0.05
	// maxRunTimeRatio bounds how much longer or shorter than the mean a request is
	// expected to run. The size of a request is an upper bound for its answer.
	maxRunTimeRatio = 4.0
)

// estimateRunTime estimates how long a request of a service runs, in proportion to
// its size. The estimate is at most half the time left until the deadline; otherwise
// a service whose earlier requests were slow would reject every later one.
func (a *admitter) estimateRunTime(service string, tokens int, untilDeadline time.Duration) time.Duration {
	size := float64(max(tokens, 1))
	mean, known := a.meanTokens[service]
	if !known {
		mean = size
	}
	a.meanTokens[service] = mean + tokensWeight*(size-mean)
	ratio := min(max(size/mean, 1/maxRunTimeRatio), maxRunTimeRatio)
	expected := time.Duration(ratio * float64(a.controller.MeanRunTime(service)))
	return max(0, min(expected, untilDeadline/2))
}

// findAccount returns an account by id. The account of callers without a
// known key needs no settings node of its own; it exists while the settings
// admit such callers.
func findAccount(tree *settings.Tree, id string) (*settings.Account, bool) {
	if account, ok := tree.Account(id); ok {
		return account, true
	}
	for _, account := range []*settings.Account{tree.Global().Anonymous, tree.Global().UnknownKey} {
		if account != nil && account.ID == id {
			return account, true
		}
	}
	return nil, false
}

func admissionError(reason admission.Reason, retryAfter time.Duration) error {
	err := fault.New(fault.Code(reason), fault.Location{Step: caller.StepAdmit}, fault.NotRun, "the request was not admitted: "+string(reason))
	return fault.WithRetryAfter(err, retryAfter)
}

// localRules returns the class and weight of an account at a service and this
// entry's shares of the limits.
func (a *admitter) localRules(now time.Time, tree *settings.Tree, account *settings.Account, service *settings.Service) admission.Rules {
	effective := tree.Rules(account, service)
	rules := admission.Rules{
		Class: admission.Free, Weight: effective.Weight, AtService: admission.Unlimited(),
		Account: a.shares.LocalLimits(now, account.ID, "", admissionLimits(account.Limits)),
	}
	if effective.Paying {
		rules.Class = admission.Paying
	}
	if effective.HasOwnLimits || effective.Limits != account.Limits {
		rules.AtService = a.shares.LocalLimits(now, account.ID, service.ID, admissionLimits(effective.Limits))
	}
	return rules
}

// admissionLimits converts limits from the settings, in which zero means
// unlimited.
func admissionLimits(l settings.Limits) admission.Limits {
	limits := admission.Unlimited()
	if l.RequestsPerSecond > 0 {
		limits.RequestsPerSecond = l.RequestsPerSecond
	}
	if l.Concurrent > 0 {
		limits.Concurrent = int(l.Concurrent)
	}
	if l.TokensPerMinute > 0 {
		limits.TokensPerMinute = float64(l.TokensPerMinute)
	}
	return limits
}

// Preempted implements caller.Slot.
func (s *slot) Preempted() <-chan struct{} {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	return s.preempted
}

// Yield implements caller.Slot.
func (s *slot) Yield(ctx context.Context) error {
	s.yield()
	select {
	case err := <-s.admitted:
		return err
	case <-ctx.Done():
		s.cancel()
		return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, fault.Location{Step: caller.StepAdmit}, fault.NotRun)
	}
}

func (s *slot) yield() {
	a := s.owner
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running[s.ticket] != s {
		return
	}
	now := time.Now()
	delete(a.running, s.ticket)
	a.waiting[s.ticket] = s
	s.preempted = make(chan struct{})
	a.controller.Preempted(now, s.ticket)
	a.admitNext(now, s.key.service)
}

// Release implements caller.Slot.
func (s *slot) Release(u caller.Usage) {
	a := s.owner
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.running[s.ticket] != s {
		return
	}
	delete(a.running, s.ticket)
	a.streams[s.key.service]--
	a.controller.Done(now, s.ticket, admission.Usage{Tokens: u.Tokens})
	a.admitNext(now, s.key.service)
}

// cancel withdraws a queued request, or releases its slot if it was admitted
// in the meantime.
func (s *slot) cancel() {
	a := s.owner
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	switch {
	case a.waiting[s.ticket] == s:
		delete(a.waiting, s.ticket)
		a.streams[s.key.service]--
		a.controller.Cancel(now, s.ticket)
	case a.running[s.ticket] == s:
		delete(a.running, s.ticket)
		a.streams[s.key.service]--
		a.controller.Done(now, s.ticket, admission.Usage{})
		a.admitNext(now, s.key.service)
	}
}

// admitNext admits the queued requests that now fit, and ends those that have
// expired. The caller holds mu.
func (a *admitter) admitNext(now time.Time, service string) {
	for _, ticket := range a.controller.Next(now, service) {
		if s := a.waiting[ticket]; s != nil {
			delete(a.waiting, ticket)
			a.running[ticket] = s
			s.admitted <- nil
		}
	}
	// Next drops expired tickets, but only Expire returns them.
	a.rejectQueued(a.controller.Expire(now))
}

// rejectQueued ends queued requests with the error for their rejection. The
// caller holds mu.
func (a *admitter) rejectQueued(rejected []admission.Rejected) {
	for _, r := range rejected {
		if s := a.waiting[r.Ticket]; s != nil {
			delete(a.waiting, r.Ticket)
			a.streams[s.key.service]--
			reason := r.Reason
			if reason == admission.QueueTimeout && !time.Now().Before(s.latestStart) {
				reason = admission.DeadlineExceeded
			}
			s.admitted <- admissionError(reason, r.RetryAfter)
		}
	}
}

// handleMessage processes a message of the share protocol.
func (a *admitter) handleMessage(_ context.Context, from string, payload []byte) ([]byte, error) {
	message, err := sharepb.Decode(payload)
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	out := a.shares.Step(time.Now(), from, message)
	a.mu.Unlock()
	a.send(out)
	return nil, nil
}

func (a *admitter) send(envelopes []share.Envelope) {
	for _, e := range envelopes {
		payload, err := sharepb.Encode(e.Message)
		if err != nil {
			a.logger.Error("encode limit shares", zap.Error(err))
			continue
		}
		if e.To == a.cfg.ID {
			_, _ = a.handleMessage(context.Background(), e.To, payload)
			continue
		}
		a.network.Send(e.To, channelShares, payload)
	}
}

// run ticks the controller and the share protocol until ctx ends.
func (a *admitter) run(ctx context.Context) { every(ctx, admissionTickInterval, a.tick) }

func (a *admitter) tick(now time.Time) {
	tree := a.tree()
	a.mu.Lock()
	if live := a.liveEntries(); tree.Revision() != a.revision || len(live)+1 != a.entryCount {
		a.applySettings(now, tree, live)
	}
	services := tree.Services()
	if now.Sub(a.demandReportedAt) >= DemandReportInterval {
		a.demandReportedAt = now
		for _, service := range services {
			a.updateCapacity(now, service)
		}
		a.reportDemand(now, tree)
	}
	a.rejectQueued(a.controller.Expire(now))
	for _, service := range services {
		a.admitNext(now, service)
	}
	a.preempt(now)
	out := a.shares.Tick(now)
	a.mu.Unlock()
	a.send(out)
}

// preempt stops free requests to make room for queued paying ones. The caller
// holds mu.
func (a *admitter) preempt(now time.Time) {
	for _, ticket := range a.controller.Preempt(now) {
		if s := a.running[ticket]; s != nil {
			close(s.preempted)
		}
	}
}

// applySettings applies new settings or a changed set of entries. The caller
// holds mu.
func (a *admitter) applySettings(now time.Time, tree *settings.Tree, live []string) {
	a.revision, a.entryCount = tree.Revision(), len(live)+1
	var entries []string
	for _, p := range a.cfg.Peers {
		if p.Has(config.RoleEntry) {
			entries = append(entries, p.ID)
		}
	}
	if len(entries) == 0 {
		entries = []string{a.cfg.ID}
	}
	a.shares.SetView(now, append([]string{a.cfg.ID}, live...), entries)
	a.shares.SetLimits(now, a.sharedLimits(tree))
	for _, id := range tree.Services() {
		s, _ := tree.Service(id)
		a.rejectQueued(a.controller.SetService(now, id, admission.ServiceRules{
			QueueSize: s.QueueSize, AccountQueueSize: max(1, s.QueueSize/4), MaxQueue: s.MaxQueue,
		}))
	}
	a.updateRules(now, tree)
}

// sharedLimits lists the configured limits that are divided between the
// entries.
func (a *admitter) sharedLimits(tree *settings.Tree) []share.Limit {
	var all []share.Limit
	for _, accountID := range tree.Accounts() {
		account, _ := tree.Account(accountID)
		all = append(all, share.LimitsOf(accountID, "", admissionLimits(account.Limits))...)
		for _, serviceID := range tree.Services() {
			service, _ := tree.Service(serviceID)
			rules := tree.Rules(account, service)
			if rules.HasOwnLimits || rules.Limits != account.Limits {
				all = append(all, share.LimitsOf(accountID, serviceID, admissionLimits(rules.Limits))...)
			}
		}
	}
	for _, serviceID := range tree.Services() {
		slots := a.capacity(serviceID).Slots
		all = append(all, share.Limit{ID: share.ID(share.Slots, "", serviceID), Kind: share.Slots, Value: float64(slots)})
	}
	return all
}

// updateRules applies changed limits to the accounts that are active on this
// entry.
func (a *admitter) updateRules(now time.Time, tree *settings.Tree) {
	for key := range a.active {
		account, ok := findAccount(tree, key.account)
		if !ok {
			a.rejectQueued(a.controller.RemoveAccount(now, key.account))
			continue
		}
		if service, ok := tree.Service(key.service); ok {
			a.rejectQueued(a.controller.Update(now, key.account, key.service, a.localRules(now, tree, account, service)))
		}
	}
}

// updateCapacity passes the capacity of a service's upstreams to the
// controller and to the share protocol.
func (a *admitter) updateCapacity(now time.Time, service string) {
	capacity := a.capacity(service)
	capacity.Entries = a.entryCount
	id := share.ID(share.Slots, "", service)
	a.shares.SetLimit(now, share.Limit{ID: id, Kind: share.Slots, Value: float64(capacity.Slots)})
	capacity.Share = -1
	if allowance := a.shares.LocalAllowance(now, id); allowance.Source == share.Leased {
		capacity.Share = allowance.Value
	}
	a.controller.SetCapacity(service, capacity)
}

// reportDemand reports this entry's demand to the owners of the limits and
// applies the shares that they granted.
func (a *admitter) reportDemand(now time.Time, tree *settings.Tree) {
	accounts := map[string]bool{}
	for key := range a.active {
		offered := a.controller.Offered(now, key.account, key.service)
		a.shares.SetAccountDemand(now, key.account, key.service, offered)
		accounts[key.account] = true
		if offered.RequestsPerSecond < idleAccountRate && offered.Queued+offered.Running == 0 {
			delete(a.active, key)
		}
	}
	for account := range accounts {
		a.shares.SetAccountDemand(now, account, "", a.controller.Offered(now, account, ""))
	}
	for _, service := range tree.Services() {
		paying, free := a.controller.Demand(service)
		// Running requests count as demand. They are not reported as used:
		// requests that run beyond the share would then keep other entries
		// from their leases.
		a.shares.SetDemand(now, share.ID(share.Slots, "", service), share.Demand{
			Paying: float64(paying.Queued + paying.Running), Free: float64(free.Queued + free.Running),
		})
	}
	a.updateRules(now, tree)
}
