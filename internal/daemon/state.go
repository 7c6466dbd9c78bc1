package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/claim"
	"github.com/bluebellfield/bluebellfield/domainstate"
	"github.com/bluebellfield/bluebellfield/globalstate"
	"github.com/bluebellfield/bluebellfield/group"
	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/internal/feed"
	"github.com/bluebellfield/bluebellfield/internal/peer"
	"github.com/bluebellfield/bluebellfield/internal/settingsfile"
	"github.com/bluebellfield/bluebellfield/quarantine"
	"github.com/bluebellfield/bluebellfield/settings"
)

// importRetryDelay is the delay before settings are fetched again after a
// failure.
const importRetryDelay = 100 * time.Millisecond

// bootstrapChangeID is the change id of a deployment's initial settings.
// Every control instance proposes them under the same id, so one proposal is
// applied.
const bootstrapChangeID = "bootstrap"

// sharedState holds the settings and the replica groups of all failure
// domains that this daemon has in force.
type sharedState struct {
	cfg     *config.Daemon
	network *peer.Network
	logs    *hostedLogs
	logger  *zap.Logger
	global  *globalClient
	client  *feed.Client
	// sources holds the feed sources of the logs hosted here, by failure
	// domain or by the name of the global log.
	sources map[string]*feed.Source

	feeds   []*domainFeed
	changed *signal

	mu     sync.Mutex
	groups map[string]*group.State
	// published is a copy of groups for the request path, which takes no
	// lock.
	published atomic.Pointer[map[string]*group.State]
	onTree    func(*settings.Tree)
}

func newSharedState(cfg *config.Daemon, network *peer.Network, l *hostedLogs, logger *zap.Logger, onTree func(*settings.Tree), onVerdicts func(*quarantine.Stored)) *sharedState {
	s := &sharedState{
		cfg: cfg, network: network, logs: l, logger: logger, sources: map[string]*feed.Source{},
		groups: map[string]*group.State{}, changed: newSignal(), onTree: onTree,
	}
	s.global = &globalClient{cfg: cfg, network: network, local: l.global}
	s.published.Store(&map[string]*group.State{})
	s.client = feed.NewClient(feed.Options{
		Sources: sortByProximity(cfg, cfg.Logs.Domains[cfg.FailureDomain]),
		Send:    s.requestFunc(feed.DomainChannel + "." + cfg.FailureDomain), OnTree: onTree, OnGroups: s.setGroups, OnVerdicts: onVerdicts, Logger: logger,
	})
	for name, d := range l.domains {
		served := &domainFeed{domainReplica: d, shared: s, signal: newSignal()}
		s.feeds = append(s.feeds, served)
		source := feed.NewSource(served)
		s.sources[name] = source
		network.Handle(feed.DomainChannel+"."+name, source.Serve)
	}
	if l.global != nil {
		source := feed.NewSource(globalFeed{l.global})
		s.sources[globalLog] = source
		network.Handle(feed.GlobalChannel, source.Serve)
	}
	return s
}

// requestFunc returns the function that sends feed requests on a channel.
// Requests to this daemon are served locally.
func (s *sharedState) requestFunc(channel string) feed.SendFunc {
	return func(ctx context.Context, source string, payload []byte) ([]byte, error) {
		if source != s.cfg.ID {
			return s.network.Call(ctx, source, channel, payload)
		}
		local := s.sources[s.cfg.FailureDomain]
		if channel == feed.GlobalChannel {
			local = s.sources[globalLog]
		}
		if local == nil {
			return nil, errors.New("this instance does not host the log")
		}
		return local.Serve(ctx, s.cfg.ID, payload)
	}
}

// run starts the feed clients and the background tasks of hosted logs.
func (s *sharedState) run(spawn func(func(context.Context))) {
	spawn(s.client.Run)
	for _, f := range s.feeds {
		spawn(f.run)
	}
	for name, d := range s.logs.domains {
		spawn(func(ctx context.Context) { s.importSettings(ctx, d) })
		if name == s.cfg.FailureDomain {
			s.followOtherDomains(spawn)
		}
	}
	if s.logs.global != nil {
		spawn(s.bootstrap)
		spawn(s.expireClaims)
	}
}

// followOtherDomains follows the groups of the other failure domains on
// behalf of the daemons that follow this control instance.
func (s *sharedState) followOtherDomains(spawn func(func(context.Context))) {
	for domain, voters := range s.cfg.Logs.Domains {
		if domain == s.cfg.FailureDomain {
			continue
		}
		client := feed.NewClient(feed.Options{
			Sources: sortByProximity(s.cfg, voters), Send: s.domainRequestFunc(domain), GroupsOnly: true, Logger: s.logger,
			OnGroups: func(d string, state *group.State) {
				if d == domain {
					s.setGroups(d, state)
				}
			},
		})
		spawn(client.Run)
	}
}

func (s *sharedState) domainRequestFunc(domain string) feed.SendFunc {
	return func(ctx context.Context, source string, payload []byte) ([]byte, error) {
		if source == s.cfg.ID {
			return s.sources[domain].Serve(ctx, s.cfg.ID, payload)
		}
		return s.network.Call(ctx, source, feed.DomainChannel+"."+domain, payload)
	}
}

// Tree returns the settings in force.
func (s *sharedState) Tree() *settings.Tree { return s.client.Tree() }

// Groups returns the replica groups of all failure domains.
func (s *sharedState) Groups() map[string]*group.State { return *s.published.Load() }

func (s *sharedState) setGroups(domain string, state *group.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.groups[domain]; old != nil && old.Revision >= state.Revision {
		return
	}
	s.groups[domain] = state
	published := maps.Clone(s.groups)
	s.published.Store(&published)
	s.changed.broadcast()
}

// domainFeed serves a domain log to the feed's followers.
type domainFeed struct {
	*domainReplica
	shared *sharedState
	signal *signal
}

// signal notifies all waiters of the next change.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

func newSignal() *signal { return &signal{ch: make(chan struct{})} }

func (s *signal) watch() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ch
}

func (s *signal) broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ch)
	s.ch = make(chan struct{})
}

// Tree implements feed.State.
func (d *domainFeed) Tree() *settings.Tree { return d.machine.Tree() }

// Since implements feed.State.
func (d *domainFeed) Since(revision uint64) ([]settings.Record, bool) {
	return d.machine.Since(revision)
}

// Groups implements feed.State.
func (d *domainFeed) Groups() map[string]*group.State {
	all := map[string]*group.State{}
	if d.failureDomain == d.shared.cfg.FailureDomain {
		maps.Copy(all, d.shared.Groups())
	}
	all[d.failureDomain] = d.machine.Groups()
	return all
}

// Verdicts implements feed.State.
func (d *domainFeed) Verdicts() *quarantine.Stored { return d.machine.Verdicts() }

// Changed implements feed.State.
func (d *domainFeed) Changed() <-chan struct{} { return d.signal.watch() }

// run signals changes of the log and of the groups that the feed forwards. It
// obtains the channels before it signals, so that no change is missed.
func (d *domainFeed) run(ctx context.Context) {
	for ctx.Err() == nil {
		log, groups := d.Watch(), d.shared.changed.watch()
		d.signal.broadcast()
		select {
		case <-log:
		case <-groups:
		case <-ctx.Done():
		}
	}
}

// HasLeader implements feed.State.
func (d *domainFeed) HasLeader() bool { return d.Status().Leader.Instance != "" }

// importSettings copies committed settings from the global log into a domain
// log while this instance leads the domain log.
func (s *sharedState) importSettings(ctx context.Context, d *domainReplica) {
	sources := sortByProximity(s.cfg, s.cfg.Logs.Global)
	for attempt := 0; ctx.Err() == nil; {
		if !d.Status().IsLeader() {
			wait(ctx, d.Watch(), time.Second)
			continue
		}
		if len(sources) == 0 {
			return
		}
		if err := s.importOnce(ctx, d, sources[attempt%len(sources)]); err != nil {
			s.logger.Debug("importing settings failed", zap.String("peer", sources[attempt%len(sources)]), zap.Error(err))
			attempt++
			wait(ctx, nil, importRetryDelay)
		}
	}
}

func (s *sharedState) importOnce(ctx context.Context, d *domainReplica, source string) error {
	payload, err := proto.Marshal(&feed.Request{Revision: d.machine.Tree().Revision()})
	if err != nil {
		return err
	}
	answer, err := s.requestFunc(feed.GlobalChannel)(ctx, source, payload)
	if err != nil {
		return err
	}
	var reply feed.Reply
	if err := proto.Unmarshal(answer, &reply); err != nil {
		return err
	}
	command, err := importCommand(&reply)
	if err != nil || command == nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := d.Propose(ctx, command)
	if err != nil {
		return err
	}
	_, err = domainstate.DecodeResult(result)
	return err
}

// importCommand converts a feed reply into a command of the domain log. It
// returns nil for an empty reply.
func importCommand(reply *feed.Reply) ([]byte, error) {
	switch {
	case len(reply.Records) > 0:
		var records []settings.Record
		if err := json.Unmarshal(reply.Records, &records); err != nil {
			return nil, err
		}
		return domainstate.EncodeRecords(records)
	case len(reply.Tree) > 0:
		tree, err := settings.DecodeTree(reply.Tree)
		if err != nil {
			return nil, err
		}
		return domainstate.EncodeTree(tree)
	}
	return nil, nil
}

// bootstrap proposes the initial settings of a deployment. Every voter
// proposes the same change, and one of the proposals is applied.
func (s *sharedState) bootstrap(ctx context.Context) {
	if s.cfg.BootstrapSettings == "" {
		return
	}
	data, err := os.ReadFile(s.cfg.BootstrapSettings)
	if err != nil {
		s.logger.Error("reading bootstrap settings failed", zap.Error(err))
		return
	}
	tree, err := settingsfile.ParseTree(s.cfg.BootstrapSettings, data)
	if err != nil {
		s.logger.Error("parsing bootstrap settings failed", zap.Error(err))
		return
	}
	for ctx.Err() == nil {
		if s.proposeBootstrap(ctx, tree) == nil {
			return
		}
		wait(ctx, nil, time.Second)
	}
}

func (s *sharedState) proposeBootstrap(ctx context.Context, tree *settings.Tree) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := s.logs.global.Barrier(ctx); err != nil {
		return err
	}
	if s.logs.global.machine.Tree().Revision() > 0 {
		return nil
	}
	command, err := globalstate.EncodeChange(settings.Change{
		ID: bootstrapChangeID, Author: "bootstrap", At: time.Now(), Ops: settings.OpsBetween(settings.Empty(), tree),
	})
	if err != nil {
		return err
	}
	result, err := s.logs.global.Propose(ctx, command)
	if err != nil {
		return err
	}
	r, err := globalstate.DecodeChangeResult(result)
	if err == nil && r.Outcome() == settings.Invalid {
		s.logger.Error("bootstrap settings are invalid", zap.Any("problems", r.Errors))
	}
	return err
}

// expireClaims advances the clock that expires claims while this instance
// leads the global log.
func (s *sharedState) expireClaims(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, nil, claim.ExpirePeriod)
		if !s.logs.global.Status().IsLeader() {
			continue
		}
		proposal, cancel := context.WithTimeout(ctx, proposeTimeout)
		_, err := s.logs.global.Propose(proposal, globalstate.EncodeClaim(claim.Expire{At: time.Now()}))
		cancel()
		if err != nil {
			s.logger.Debug("expiring claims failed", zap.Error(err))
		}
	}
}

// every calls f once per period until ctx ends.
func every(ctx context.Context, period time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}

// wait returns when c is closed, the time has passed, or ctx ends.
func wait(ctx context.Context, c <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c:
	case <-timer.C:
	case <-ctx.Done():
	}
}
