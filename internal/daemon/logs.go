package daemon

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/domainstate"
	"github.com/bluebellfield/bluebellfield/globalstate"
	"github.com/bluebellfield/bluebellfield/group"
	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/peer"
	"github.com/bluebellfield/bluebellfield/internal/replica"
	"github.com/bluebellfield/bluebellfield/internal/storage"
	"github.com/bluebellfield/bluebellfield/quarantine"
	"github.com/bluebellfield/bluebellfield/settings"
)

// Names and name prefixes of the logs and of their peer channels.
const (
	globalLog            = "global"
	domainLogPrefix      = "domain-"
	channelLogPrefix     = "log."
	channelForwardPrefix = "forward."
	channelPropose       = "propose.global"
	channelClaim         = "claim.lookup"
	// channelVerdicts, with the failure domain, carries verdicts to the voters of
	// its log.
	channelVerdicts = "verdicts."
)

// hostedLogs holds the log replicas that this daemon hosts.
type hostedLogs struct {
	cfg     *config.Daemon
	network *peer.Network
	logger  *zap.Logger
	dir     *storage.Dir
	// electionTimeout is zero for the default.
	electionTimeout time.Duration
	global          *globalReplica
	domains         map[string]*domainReplica
}

type globalReplica struct {
	*replica.Replica
	machine *globalstate.Machine
}

// isMember reports whether the replica is a member of its log. After an
// instance has lost its data folder, its replica is not a member until a
// voter change adds it again, and knows neither the leader nor the state.
func (g *globalReplica) isMember() bool {
	members := g.Status().Members
	return slices.Contains(members.Voters, g.ID()) || slices.Contains(members.Learners, g.ID())
}

type domainReplica struct {
	*replica.Replica
	failureDomain string
	machine       *domainstate.Machine
}

// openLogs opens the replicas of the logs in which this daemon is a voter.
func openLogs(cfg *config.Daemon, network *peer.Network, electionTimeout time.Duration, logger *zap.Logger) (*hostedLogs, error) {
	l := &hostedLogs{cfg: cfg, network: network, electionTimeout: electionTimeout, logger: logger, domains: map[string]*domainReplica{}}
	if cfg.DataFolder == "" || !cfg.Has(config.RoleControl) {
		return l, nil
	}
	dir, err := storage.OpenDir(storage.OS{}, cfg.DataFolder)
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	l.dir = dir
	if err := l.openAll(); err != nil {
		return nil, errors.Join(err, l.close())
	}
	return l, nil
}

func (l *hostedLogs) openAll() error {
	if slices.Contains(l.cfg.Logs.Global, l.cfg.ID) {
		g := &globalReplica{machine: globalstate.New()}
		r, err := l.openLog(globalLog, l.cfg.Logs.Global, g.machine)
		if err != nil {
			return err
		}
		g.Replica = r
		l.global = g
		l.network.Handle(channelPropose, l.servePropose)
		l.network.Handle(channelClaim, l.serveLookup)
	}
	for failureDomain, voters := range l.cfg.Logs.Domains {
		if !slices.Contains(voters, l.cfg.ID) {
			continue
		}
		d := &domainReplica{failureDomain: failureDomain, machine: domainstate.New()}
		r, err := l.openLog(domainLogPrefix+failureDomain, voters, d.machine)
		if err != nil {
			return err
		}
		d.Replica = r
		l.domains[failureDomain] = d
	}
	return nil
}

func (l *hostedLogs) openLog(name string, voters []string, machine replica.StateMachine) (*replica.Replica, error) {
	r, err := replica.Open(replica.Options{
		Log: name, ID: l.cfg.ID, Dir: l.dir, Voters: voters, Transport: transport{l.network}, Machine: machine,
		Forward: l.forwardProposal, Logger: l.logger,
		// Settings and groups that were in force must be in force again
		// after a restart, even without a leader.
		SyncCommit:      true,
		ElectionTimeout: l.electionTimeout,
	})
	if err != nil {
		return nil, fmt.Errorf("open log %s: %w", name, err)
	}
	l.network.Handle(channelLogPrefix+name, func(_ context.Context, from string, message []byte) ([]byte, error) {
		r.Receive(from, message)
		return nil, nil
	})
	l.network.Handle(channelForwardPrefix+name, func(ctx context.Context, _ string, request []byte) ([]byte, error) {
		return r.HandleForward(ctx, request), nil
	})
	return r, nil
}

// messenger is the part of the peer network that the daemon's components use.
type messenger interface {
	Send(to, channel string, payload []byte) bool
	Call(ctx context.Context, to, channel string, payload []byte) ([]byte, error)
	Handle(channel string, h peer.Handler)
}

// transport sends log messages over the peer network.
type transport struct{ network *peer.Network }

// Send implements replica.Transport.
func (t transport) Send(to, log string, message []byte) {
	t.network.Send(to, channelLogPrefix+log, message)
}

func (l *hostedLogs) forwardProposal(ctx context.Context, leader, log string, request []byte) ([]byte, error) {
	answer, err := l.network.Call(ctx, leader, channelForwardPrefix+log, request)
	if err != nil && fault.OutcomeOf(err) == fault.NotRun {
		return nil, fmt.Errorf("%w: %w", replica.ErrNotProposed, err)
	}
	return answer, err
}

// servePropose proposes a command on behalf of a daemon without a usable
// replica of the global log.
func (l *hostedLogs) servePropose(ctx context.Context, _ string, command []byte) ([]byte, error) {
	return l.global.Propose(ctx, command)
}

// replicas returns every hosted replica by log name.
func (l *hostedLogs) replicas() map[string]*replica.Replica {
	all := make(map[string]*replica.Replica, len(l.domains)+1)
	if l.global != nil {
		all[globalLog] = l.global.Replica
	}
	for _, d := range l.domains {
		all[domainLogPrefix+d.failureDomain] = d.Replica
	}
	return all
}

// transferLeadership transfers the leadership of every log that this daemon
// leads.
func (l *hostedLogs) transferLeadership(ctx context.Context) {
	for name, r := range l.replicas() {
		if !r.Status().IsLeader() {
			continue
		}
		if err := r.TransferLeadership(ctx, ""); err != nil {
			l.logger.Info("leadership transfer failed", zap.String("log", name), zap.Error(err))
		}
	}
}

func (l *hostedLogs) close() error {
	var errs []error
	for _, r := range l.replicas() {
		if r != nil {
			errs = append(errs, r.Close())
		}
	}
	if l.dir != nil {
		errs = append(errs, l.dir.Close())
	}
	return errors.Join(errs...)
}

// proposeTimeout limits proposals that no caller waits for.
const proposeTimeout = 10 * time.Second

// globalClient proposes commands to the global log from any daemon.
type globalClient struct {
	cfg     *config.Daemon
	network messenger
	local   *globalReplica
}

// Propose commits a command and returns its result. The outcome of an error
// tells whether the command may have been committed.
func (g *globalClient) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if g.local != nil && g.local.isMember() {
		return g.local.Propose(ctx, command)
	}
	err := fault.New(fault.Unavailable, fault.Location{Step: "global log"}, fault.NotRun, "no other voter of the global log is configured")
	for _, voter := range sortByProximity(g.cfg, g.cfg.Logs.Global) {
		if voter == g.cfg.ID {
			continue
		}
		var result []byte
		result, err = g.network.Call(ctx, voter, channelPropose, command)
		if err == nil || fault.OutcomeOf(err) != fault.NotRun {
			return result, err
		}
	}
	return nil, err
}

// sortByProximity orders instances: this one first, then those in the same
// failure domain, then all others.
func sortByProximity(cfg *config.Daemon, ids []string) []string {
	ordered := slices.Clone(ids)
	rank := func(id string) int {
		p, _ := cfg.Peer(id)
		switch {
		case id == cfg.ID:
			return 0
		case p.FailureDomain == cfg.FailureDomain:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(ordered, func(a, b string) int { return rank(a) - rank(b) })
	return ordered
}

// globalFeed serves the settings of the global log to the feed's followers.
type globalFeed struct{ *globalReplica }

// Tree implements feed.State.
func (g globalFeed) Tree() *settings.Tree { return g.machine.Tree() }

// Since implements feed.State.
func (g globalFeed) Since(revision uint64) ([]settings.Record, bool) {
	return g.machine.Since(revision)
}

// Groups implements feed.State.
func (g globalFeed) Groups() map[string]*group.State { return nil }

// Verdicts implements feed.State.
func (g globalFeed) Verdicts() *quarantine.Stored { return nil }

// Changed implements feed.State.
func (g globalFeed) Changed() <-chan struct{} { return g.Watch() }

// HasLeader implements feed.State.
func (g globalFeed) HasLeader() bool { return g.Status().Leader.Instance != "" }
