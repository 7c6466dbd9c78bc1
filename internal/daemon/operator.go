package daemon

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/bluebellfield/bluebellfield/admission/share"
	"github.com/bluebellfield/bluebellfield/consensus"
	"github.com/bluebellfield/bluebellfield/globalstate"
	"github.com/bluebellfield/bluebellfield/internal/edge/operator"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/feed"
	"github.com/bluebellfield/bluebellfield/internal/replica"
	"github.com/bluebellfield/bluebellfield/internal/tracing"
	"github.com/bluebellfield/bluebellfield/outlier"
	"github.com/bluebellfield/bluebellfield/settings"
)

const (
	channelRead      = "operator.read"
	channelVoters    = "operator.voters"
	channelDrain     = "operator.drain"
	channelFollowers = "operator.followers"

	// remoteQueryTimeout limits a query to another daemon on behalf of an
	// operator.
	remoteQueryTimeout = 2 * time.Second
	// maxTraces limits the traces in one response.
	maxTraces = 200
)

// operations serves operator requests from the daemon's components.
type operations struct {
	d       *Daemon
	started time.Time
	// drain is closed when an operator requests a drain of this daemon.
	drain     chan struct{}
	drainOnce sync.Once
}

func newOperations(d *Daemon) *operations {
	o := &operations{d: d, started: time.Now(), drain: make(chan struct{})}
	d.network.Handle(channelDrain, func(context.Context, string, []byte) ([]byte, error) {
		o.requestDrain()
		return nil, nil
	})
	d.network.Handle(channelFollowers, func(context.Context, string, []byte) ([]byte, error) {
		return json.Marshal(o.followers())
	})
	d.network.Handle(channelVoters, func(ctx context.Context, _ string, payload []byte) ([]byte, error) {
		var r operator.VoterRequest
		if err := json.Unmarshal(payload, &r); err != nil {
			return nil, fault.Wrap(err, fault.BadRequest, fault.Location{Step: "voters"}, fault.NotRun)
		}
		return nil, o.changeLocalVoters(ctx, r)
	})
	if d.logs.global != nil {
		d.network.Handle(channelRead, o.serveRead)
	}
	return o
}

func (o *operations) options() operator.Options {
	return operator.Options{
		Daemon: o.d.cfg.ID, Operators: o.d.cfg.Operators, Proposer: o, Reader: o,
		Sources: operator.Sources{
			Status: o.status, Upstreams: o.upstreams, Groups: o.groups, Queues: o.queues, Limits: o.limits,
			Quarantines: o.quarantines, Peers: o.peers, Traces: o.traces, Voters: o.voters, Propagation: o.propagation,
		},
		Orders: operator.Orders{Drain: o.handleDrain, ChangeVoters: o.changeVoters},
	}
}

// ProposeChange implements operator.Proposer.
func (o *operations) ProposeChange(ctx context.Context, c settings.Change) (settings.Result, error) {
	command, err := globalstate.EncodeChange(c)
	if err != nil {
		return settings.Result{}, err
	}
	answer, err := o.d.shared.global.Propose(ctx, command)
	if err != nil {
		return settings.Result{}, err
	}
	return globalstate.DecodeChangeResult(answer)
}

func (o *operations) status(context.Context) (operator.Status, error) {
	d := o.d
	s := operator.Status{
		ID: d.cfg.ID, FailureDomain: d.cfg.FailureDomain, Region: d.cfg.Region, UptimeS: time.Since(o.started).Seconds(),
		Ready: d.Ready(), Draining: o.draining(), Revision: d.Revision(), Upstreams: d.members.View().Len(), Running: d.InFlight(),
	}
	for _, r := range d.cfg.Roles {
		s.Roles = append(s.Roles, string(r))
	}
	for name, r := range d.logs.replicas() {
		s.Logs = append(s.Logs, logStatus(name, r.Status()))
	}
	slices.SortFunc(s.Logs, func(a, b operator.LogStatus) int { return compare(a.Log, b.Log) })
	return s, nil
}

func logStatus(name string, s replica.Status) operator.LogStatus {
	row := operator.LogStatus{
		Log: name, Role: s.Role.String(), Term: s.Term, Leader: s.Leader.Instance, Commit: s.Commit, Applied: s.Applied,
	}
	if s.StorageError != nil {
		row.Error = s.StorageError.Error()
	}
	return row
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (o *operations) upstreams(context.Context) ([]operator.Upstream, error) {
	now := time.Now()
	shares := map[string]int{}
	for _, s := range o.d.picker.outliers() {
		shares[s.Upstream] = s.Share
	}
	var rows []operator.Upstream
	for _, u := range o.d.members.View().All() {
		load := u.Load()
		row := operator.Upstream{
			ID: u.ID, Kind: string(u.Kind), Services: u.Services, FailureDomain: u.FailureDomain, FabricDomain: u.FabricDomain,
			Address: u.Address, State: string(u.State), Incarnation: u.Incarnation, AgeMS: u.Age(now).Milliseconds(),
			Running: load.Running, Queued: load.Queued, KVUse: load.KVUse, TokensPerSecond: load.TokensPerSecond,
			Group: u.InForce.Group, Epoch: u.InForce.Epoch, Admitted: 1,
		}
		if permille, ok := shares[u.ID]; ok {
			row.Admitted = float64(permille) / outlier.FullShare
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func (o *operations) groups(context.Context) ([]operator.Group, error) {
	now, view := time.Now(), o.d.members.View()
	var rows []operator.Group
	for domain, state := range o.d.shared.Groups() {
		for _, g := range state.Groups {
			_, serving := g.Servable(view, now)
			row := operator.Group{
				ID: g.ID, Service: g.Service, FailureDomain: domain, FabricDomain: g.FabricDomain, ModelVersion: g.Model.Version,
				Epoch: g.Epoch, Phase: string(g.Phase), Serving: serving, Since: time.UnixMilli(g.Since), Reason: string(g.Cause),
			}
			for _, m := range g.Members {
				row.Members = append(row.Members, m.ID)
			}
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b operator.Group) int { return compare(a.ID, b.ID) })
	return rows, nil
}

func (o *operations) queues(context.Context) ([]operator.Queue, error) {
	return o.d.admitter.queues(), nil
}

func (o *operations) limits(context.Context) ([]operator.Limit, error) {
	return o.d.admitter.limitRows(o.d.shared.Tree()), nil
}

func (o *operations) quarantines(context.Context) ([]operator.Quarantine, error) {
	var rows []operator.Quarantine
	for _, v := range o.d.crashes.tracker.Verdicts(time.Now()) {
		rows = append(rows, operator.Quarantine{
			Digest: hex.EncodeToString(v.Digest[:]), State: "quarantined", Crashes: o.d.crashes.tracker.CrashCount(v.Digest), Until: v.Until,
		})
	}
	return rows, nil
}

func (o *operations) peers(context.Context) ([]operator.Peer, error) {
	connected := map[string]bool{}
	failed := map[string]string{}
	for _, s := range o.d.network.Peers() {
		connected[s.ID], failed[s.ID] = s.Connected, s.LastError
	}
	sinceLastBatch := map[string]time.Duration{}
	for _, p := range o.d.members.Peers() {
		sinceLastBatch[p.ID] = p.SinceLastBatch
	}
	var rows []operator.Peer
	for _, p := range o.d.cfg.Peers {
		if p.ID == o.d.cfg.ID {
			continue
		}
		row := operator.Peer{
			ID: p.ID, FailureDomain: p.FailureDomain, Region: p.Region, Address: p.Address, Connected: connected[p.ID],
			LastSeenMS: sinceLastBatch[p.ID].Milliseconds(), Error: failed[p.ID],
		}
		for _, r := range p.Roles {
			row.Roles = append(row.Roles, string(r))
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func (o *operations) traces(context.Context) ([]operator.Trace, error) {
	var rows []operator.Trace
	for _, root := range o.d.recorder.Recent(maxTraces) {
		requestID := root.Attributes["request.id"]
		row := operator.Trace{
			TraceID: root.TraceID, RequestID: requestID, Account: root.Attributes["account"], Service: root.Attributes["service"],
			Start: root.Start, DurationMS: milliseconds(root.DurationUS), Outcome: root.Attributes["outcome"], Code: root.Error,
		}
		for _, s := range o.d.recorder.ByRequest(requestID) {
			row.Spans = append(row.Spans, spanRow(root, s))
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func spanRow(root, s tracing.Span) operator.Span {
	return operator.Span{
		Name: s.Name, StartMS: milliseconds(s.Start.Sub(root.Start).Microseconds()), DurationMS: milliseconds(s.DurationUS),
		Peer: s.Attributes["upstream"], Error: s.Error, Attributes: s.Attributes,
	}
}

func milliseconds(micros int64) float64 { return float64(micros) / 1000 }

func (o *operations) voters(context.Context) ([]operator.Voter, error) {
	var rows []operator.Voter
	for name, r := range o.d.logs.replicas() {
		s := r.Status()
		match := map[consensus.NodeID]uint64{}
		for _, p := range s.Peers {
			match[p.ID] = p.Match
		}
		add := func(ids []consensus.NodeID, learner bool) {
			for _, id := range ids {
				rows = append(rows, operator.Voter{
					Log: name, ID: id.Instance, StorageID: strconv.FormatUint(id.Storage, 16), Learner: learner,
					Leader: id == s.Leader, Match: match[id],
				})
			}
		}
		add(s.Members.Voters, false)
		add(s.Members.Learners, true)
	}
	slices.SortFunc(rows, func(a, b operator.Voter) int { return compare(a.Log+a.ID, b.Log+b.ID) })
	return rows, nil
}

// followers returns the daemons that follow this control instance, with the
// revision that each has in force.
func (o *operations) followers() []feed.Follower {
	var all []feed.Follower
	for name, source := range o.d.shared.sources {
		if name != globalLog {
			all = append(all, source.Followers()...)
		}
	}
	return all
}

// propagation queries the followers of every control instance.
func (o *operations) propagation(ctx context.Context) ([]operator.Propagation, error) {
	newest := o.collectFollowers(ctx)
	now := time.Now()
	var rows []operator.Propagation
	for _, p := range o.d.cfg.Peers {
		row := operator.Propagation{Daemon: p.ID, FailureDomain: p.FailureDomain}
		if f, ok := newest[p.ID]; ok {
			row.Revision, row.AgeMS = f.Revision, now.Sub(f.LastSeen).Milliseconds()
		} else {
			row.Error = "no reachable control instance has heard from this daemon"
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func (o *operations) collectFollowers(ctx context.Context) map[string]feed.Follower {
	ctx, cancel := context.WithTimeout(ctx, remoteQueryTimeout)
	defer cancel()
	var mu sync.Mutex
	newest := map[string]feed.Follower{}
	add := func(followers []feed.Follower) {
		mu.Lock()
		defer mu.Unlock()
		for _, f := range followers {
			if f.LastSeen.After(newest[f.ID].LastSeen) {
				newest[f.ID] = f
			}
		}
	}
	add(o.followers())
	var all sync.WaitGroup
	for _, id := range o.controlInstances() {
		all.Go(func() {
			answer, err := o.d.network.Call(ctx, id, channelFollowers, nil)
			var followers []feed.Follower
			if err == nil && json.Unmarshal(answer, &followers) == nil {
				add(followers)
			}
		})
	}
	all.Wait()
	return newest
}

// controlInstances lists the other voters of all domain logs.
func (o *operations) controlInstances() []string {
	seen := map[string]bool{o.d.cfg.ID: true}
	var ids []string
	for _, voters := range o.d.cfg.Logs.Domains {
		for _, id := range voters {
			if !seen[id] {
				seen[id] = true
				ids = append(ids, id)
			}
		}
	}
	return ids
}

func (o *operations) requestDrain() { o.drainOnce.Do(func() { close(o.drain) }) }

func (o *operations) draining() bool {
	select {
	case <-o.drain:
		return true
	default:
		return false
	}
}

func (o *operations) handleDrain(ctx context.Context, r operator.DrainRequest) error {
	at := fault.Location{Step: "drain", Peer: r.Daemon}
	switch {
	case r.Upstream != "":
		return fault.New(fault.Invalid, at, fault.NotRun, "upstreams announce their own drain; specify the id of a daemon")
	case r.Daemon == o.d.cfg.ID:
		o.requestDrain()
		return nil
	}
	_, err := o.d.network.Call(ctx, r.Daemon, channelDrain, nil)
	return err
}

// changeVoters changes the voters of a log, locally or through an instance
// that hosts it.
func (o *operations) changeVoters(ctx context.Context, r operator.VoterRequest) error {
	if _, hosted := o.d.logs.replicas()[r.Log]; hosted {
		return o.changeLocalVoters(ctx, r)
	}
	payload, err := json.Marshal(r)
	if err != nil {
		return err
	}
	err = fault.New(fault.NotFound, fault.Location{Step: "voters"}, fault.NotRun, "no instance hosts the log "+r.Log)
	for _, id := range o.logHosts(r.Log) {
		_, err = o.d.network.Call(ctx, id, channelVoters, payload)
		if err == nil || fault.OutcomeOf(err) != fault.NotRun {
			return err
		}
	}
	return err
}

func (o *operations) logHosts(log string) []string {
	if log == globalLog {
		return o.d.cfg.Logs.Global
	}
	for domain, voters := range o.d.cfg.Logs.Domains {
		if domainLogPrefix+domain == log {
			return voters
		}
	}
	return nil
}

func (o *operations) changeLocalVoters(ctx context.Context, r operator.VoterRequest) error {
	at := fault.Location{Step: "voters", Peer: r.ID}
	log := o.d.logs.replicas()[r.Log]
	if log == nil {
		return fault.New(fault.NotFound, at, fault.NotRun, "this instance does not host the log "+r.Log)
	}
	change := replica.VoterChange{Kind: replica.AddVoter, Instance: r.ID}
	if r.Action == operator.RemoveVoter {
		change.Kind = replica.Remove
	}
	if r.StorageID != "" {
		storage, err := strconv.ParseUint(r.StorageID, 16, 64)
		if err != nil {
			return fault.Wrap(err, fault.BadRequest, at, fault.NotRun)
		}
		change.Storage = storage
	}
	return log.ProposeVoterChange(ctx, change)
}

// queues lists the queued and running requests by service and account.
func (a *admitter) queues() []operator.Queue {
	a.mu.Lock()
	defer a.mu.Unlock()
	var rows []operator.Queue
	now := time.Now()
	for key, class := range a.active {
		offered := a.controller.Offered(now, key.account, key.service)
		rows = append(rows, operator.Queue{
			Service: key.service, Account: key.account, Class: class.String(), Queued: offered.Queued, Running: offered.Running,
		})
	}
	slices.SortFunc(rows, func(a, b operator.Queue) int { return compare(a.Service+"/"+a.Account, b.Service+"/"+b.Account) })
	return rows
}

// limitRows lists the limits in force and the share of each that this entry
// holds.
func (a *admitter) limitRows(tree *settings.Tree) []operator.Limit {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	var rows []operator.Limit
	add := func(path, key string, kind share.Kind, account, service string, limit float64) {
		if limit > 0 {
			rows = append(rows, operator.Limit{Path: path, Key: key, Limit: limit, Share: a.shares.LocalAllowance(now, share.ID(kind, account, service)).Value})
		}
	}
	for _, id := range tree.Accounts() {
		account, _ := tree.Account(id)
		path := settings.AccountPath(id)
		add(path, settings.KeyMaxRequestsPerSecond, share.Rate, id, "", account.Limits.RequestsPerSecond)
		add(path, settings.KeyMaxConcurrent, share.Concurrent, id, "", float64(account.Limits.Concurrent))
		add(path, settings.KeyMaxTokensPerMinute, share.Tokens, id, "", float64(account.Limits.TokensPerMinute))
	}
	for _, id := range tree.Services() {
		add(settings.ServicePath(id), "slots", share.Slots, "", id, float64(a.capacity(id).Slots))
	}
	return rows
}
