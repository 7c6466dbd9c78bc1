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
	// admissionTick bounds how late a deadline or a refilled rate limit takes
	// effect on queued requests. What frees a slot here admits the next request
	// at once.
	admissionTick = 100 * time.Millisecond
	// ReportPeriod is the time between two looks at the upstreams and the demand.
	// Both take time in proportion to upstreams and accounts, so they are not
	// part of every admission tick.
	ReportPeriod = 200 * time.Millisecond
	// forgottenRate is the rate, in requests per second, under which an account
	// without work no longer counts as active.
	forgottenRate = 0.001
)

// admitter admits requests of this entry by class, account and service, within
// the shares of the limits that this entry holds.
type admitter struct {
	cfg      *config.Daemon
	network  messenger
	logger   *zap.Logger
	tree     func() *settings.Tree
	live     func() []string
	capacity func(service string) admission.Capacity

	mu         sync.Mutex
	controller *admission.Controller
	shares     *share.Node
	waiting    map[admission.Ticket]*slot
	running    map[admission.Ticket]*slot
	// active holds the accounts that had work here lately, with their class.
	active map[accountService]admission.Class
	// streams counts the requests of each service that wait or run here.
	streams  map[string]int
	revision uint64
	entries  int
	// reported is when the demand was last reported.
	reported time.Time
}

type accountService struct{ account, service string }

// slot is a request from its admission to its end.
type slot struct {
	owner     *admitter
	ticket    admission.Ticket
	key       accountService
	admitted  chan error
	preempted chan struct{}
	// latestStart is when the request can no longer end before its deadline.
	latestStart time.Time
}

func newAdmitter(cfg *config.Daemon, incarnation uint64, network messenger, tree func() *settings.Tree, logger *zap.Logger) *admitter {
	now := time.Now()
	a := &admitter{
		cfg: cfg, network: network, logger: logger, tree: tree,
		controller: admission.New(admission.Options{}),
		shares:     share.New(share.Config{ID: cfg.ID, Incarnation: incarnation}, now),
		waiting:    map[admission.Ticket]*slot{}, running: map[admission.Ticket]*slot{}, active: map[accountService]admission.Class{}, streams: map[string]int{},
	}
	network.Handle(channelShares, a.receive)
	return a
}

// Admit implements caller.Admitter.
func (a *admitter) Admit(ctx context.Context, w *caller.Work) (caller.Slot, error) {
	s, err := a.submit(w)
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
		return nil, fault.Wrap(ctx.Err(), fault.DeadlineExceeded, fault.At{Step: caller.StepAdmit}, fault.NotRun)
	}
}

func (a *admitter) submit(w *caller.Work) (*slot, error) {
	now := time.Now()
	tree := a.tree()
	service, ok := tree.Service(w.Route.Service)
	account, known := accountOf(tree, w.Account.ID)
	if !ok || !known {
		return nil, fault.New(fault.NotFound, fault.At{Step: caller.StepAdmit}, fault.NotRun, "the account or the service was removed")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.streams[service.ID] >= service.MaxStreams {
		return nil, refusal(admission.TooManyStreams, 0)
	}
	expected := a.expectedRun(service.ID, w.Deadline.Sub(now))
	s := &slot{
		owner: a, key: accountService{account.ID, service.ID}, admitted: make(chan error, 1), preempted: make(chan struct{}),
		latestStart: w.Deadline.Add(-expected),
	}
	rules := a.rules(now, tree, account, service)
	d := a.controller.Submit(now, admission.Request{
		ID: w.RequestID, Account: account.ID, Service: service.ID, Rules: rules,
		Tokens: w.Tokens, Deadline: w.Deadline, Expected: expected,
	})
	if _, known := a.active[s.key]; !known {
		a.reported = time.Time{} // its limits need shares
	}
	a.active[s.key] = rules.Class
	a.refuse(d.Dropped)
	s.ticket = d.Ticket
	switch d.Verdict {
	case admission.Admitted:
		s.admitted <- nil
		a.running[s.ticket] = s
	case admission.Queued:
		a.waiting[s.ticket] = s
		a.preempt(now)
	default:
		return nil, refusal(d.Reason, d.RetryAfter)
	}
	a.streams[s.key.service]++
	return s, nil
}

// expectedRun estimates how long a request of a service runs, but never so long
// that a service whose requests were slow would refuse every request from then
// on.
func (a *admitter) expectedRun(service string, left time.Duration) time.Duration {
	return max(0, min(a.controller.MeanRun(service), left/2))
}

// accountOf returns an account by id. The account of callers without a known
// key exists without a node of its own while the settings let them in.
func accountOf(tree *settings.Tree, id string) (*settings.Account, bool) {
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

func refusal(reason admission.Reason, retryAfter time.Duration) error {
	err := fault.New(fault.Code(reason), fault.At{Step: caller.StepAdmit}, fault.NotRun, "the request was not admitted: "+string(reason))
	return fault.WithRetryAfter(err, retryAfter)
}

// rules returns the limits of this entry for an account at a service.
func (a *admitter) rules(now time.Time, tree *settings.Tree, account *settings.Account, service *settings.Service) admission.Rules {
	effective := tree.Rules(account, service)
	rules := admission.Rules{
		Class: admission.Free, Weight: effective.Weight, AtService: admission.Unlimited(),
		Account: a.shares.LocalLimits(now, account.ID, "", limitsOf(account.Limits)),
	}
	if effective.Paying {
		rules.Class = admission.Paying
	}
	if effective.Own || effective.Limits != account.Limits {
		rules.AtService = a.shares.LocalLimits(now, account.ID, service.ID, limitsOf(effective.Limits))
	}
	return rules
}

// limitsOf converts limits in which zero stands for no limit.
func limitsOf(l settings.Limits) admission.Limits {
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
		return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, fault.At{Step: caller.StepAdmit}, fault.NotRun)
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
	a.controller.Yielded(now, s.ticket)
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

// cancel gives up a request that waits or was admitted meanwhile.
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

// admitNext admits what now has room. The caller holds mu.
func (a *admitter) admitNext(now time.Time, service string) {
	for _, ticket := range a.controller.Next(now, service) {
		if s := a.waiting[ticket]; s != nil {
			delete(a.waiting, ticket)
			a.running[ticket] = s
			s.admitted <- nil
		}
	}
}

// refuse tells queued requests that they will not run. The caller holds mu.
func (a *admitter) refuse(rejected []admission.Rejected) {
	for _, r := range rejected {
		if s := a.waiting[r.Ticket]; s != nil {
			delete(a.waiting, r.Ticket)
			a.streams[s.key.service]--
			reason := r.Reason
			if reason == admission.QueueTimeout && !time.Now().Before(s.latestStart) {
				reason = admission.DeadlineExceeded
			}
			s.admitted <- refusal(reason, r.RetryAfter)
		}
	}
}

// receive takes a message of the share protocol.
func (a *admitter) receive(_ context.Context, from string, payload []byte) ([]byte, error) {
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
			_, _ = a.receive(context.Background(), e.To, payload)
			continue
		}
		a.network.Send(e.To, channelShares, payload)
	}
}

// run makes the time of the controller and of the shares pass.
func (a *admitter) run(ctx context.Context) { every(ctx, admissionTick, a.tick) }

func (a *admitter) tick(now time.Time) {
	tree := a.tree()
	a.mu.Lock()
	if live := a.live(); tree.Revision() != a.revision || len(live)+1 != a.entries {
		a.configure(now, tree, live)
	}
	services := tree.Services()
	if now.Sub(a.reported) >= ReportPeriod {
		a.reported = now
		for _, service := range services {
			a.offer(now, service)
		}
		a.reportDemand(now, tree)
	}
	a.refuse(a.controller.Expire(now))
	for _, service := range services {
		a.admitNext(now, service)
	}
	a.preempt(now)
	out := a.shares.Tick(now)
	a.mu.Unlock()
	a.send(out)
}

// preempt stops free work for waiting paying work. The caller holds mu.
func (a *admitter) preempt(now time.Time) {
	for _, ticket := range a.controller.Preempt(now) {
		if s := a.running[ticket]; s != nil {
			close(s.preempted)
		}
	}
}

// configure puts settings or a changed set of entries in force.
func (a *admitter) configure(now time.Time, tree *settings.Tree, live []string) {
	a.revision, a.entries = tree.Revision(), len(live)+1
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
	a.shares.SetLimits(now, a.limits(tree))
	for _, id := range tree.Services() {
		s, _ := tree.Service(id)
		a.refuse(a.controller.SetService(now, id, admission.ServiceRules{
			QueueSize: s.QueueSize, AccountQueueSize: max(1, s.QueueSize/4), MaxQueue: s.MaxQueue,
		}))
	}
	a.updateRules(now, tree)
}

// limits lists the limits of the settings that entries share.
func (a *admitter) limits(tree *settings.Tree) []share.Limit {
	var all []share.Limit
	for _, accountID := range tree.Accounts() {
		account, _ := tree.Account(accountID)
		all = append(all, share.LimitsOf(accountID, "", limitsOf(account.Limits))...)
		for _, serviceID := range tree.Services() {
			service, _ := tree.Service(serviceID)
			rules := tree.Rules(account, service)
			if rules.Own || rules.Limits != account.Limits {
				all = append(all, share.LimitsOf(accountID, serviceID, limitsOf(rules.Limits))...)
			}
		}
	}
	for _, serviceID := range tree.Services() {
		slots := a.capacity(serviceID).Slots
		all = append(all, share.Limit{ID: share.ID(share.Slots, "", serviceID), Kind: share.Slots, Value: float64(slots)})
	}
	return all
}

// updateRules puts changed limits in force for the accounts with work here.
func (a *admitter) updateRules(now time.Time, tree *settings.Tree) {
	for key := range a.active {
		account, ok := accountOf(tree, key.account)
		if !ok {
			a.refuse(a.controller.RemoveAccount(now, key.account))
			continue
		}
		if service, ok := tree.Service(key.service); ok {
			a.refuse(a.controller.Update(now, key.account, key.service, a.rules(now, tree, account, service)))
		}
	}
}

// offer tells the controller what the upstreams of a service can take.
func (a *admitter) offer(now time.Time, service string) {
	capacity := a.capacity(service)
	capacity.Entries = a.entries
	id := share.ID(share.Slots, "", service)
	a.shares.SetLimit(now, share.Limit{ID: id, Kind: share.Slots, Value: float64(capacity.Slots)})
	capacity.Share = -1
	if allowance := a.shares.Local(now, id); allowance.Source == share.Leased {
		capacity.Share = allowance.Value
	}
	a.controller.SetCapacity(service, capacity)
}

// reportDemand tells the owners of limits what this entry could use, and puts
// the shares that it was granted in force.
func (a *admitter) reportDemand(now time.Time, tree *settings.Tree) {
	accounts := map[string]bool{}
	for key := range a.active {
		offered := a.controller.Offered(now, key.account, key.service)
		a.shares.SetAccountDemand(now, key.account, key.service, offered)
		accounts[key.account] = true
		if offered.RequestsPerSecond < forgottenRate && offered.Queued+offered.Running == 0 {
			delete(a.active, key)
		}
	}
	for account := range accounts {
		a.shares.SetAccountDemand(now, account, "", a.controller.Offered(now, account, ""))
	}
	for _, service := range tree.Services() {
		paying, free := a.controller.Demand(service)
		// Running work is part of the demand. It is not reported as used, since
		// work beyond the share would then keep others from their leases.
		a.shares.SetDemand(now, share.ID(share.Slots, "", service), share.Demand{
			Paying: float64(paying.Queued + paying.Running), Free: float64(free.Queued + free.Running),
		})
	}
	a.updateRules(now, tree)
}
