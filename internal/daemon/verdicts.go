package daemon

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/domainstate"
	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/quarantine"
	"github.com/bluebellfield/bluebellfield/quarantine/quarantinepb"
)

// storeInterval is how often the verdicts that the log lacks are sent to a voter.
const storeInterval = time.Second

// verdictStore keeps the verdicts of quarantine in the log of the daemon's failure
// domain, so that they survive a restart of all daemons. A daemon that starts gets
// them with its first settings.
type verdictStore struct {
	cfg     *config.Daemon
	network messenger
	tracker *quarantine.Tracker
	logger  *zap.Logger
	local   *domainReplica // nil if another instance hosts the log

	mu     sync.Mutex
	stored map[quarantine.Digest]time.Time
}

// newVerdictStore returns a store that also serves the logs hosted here.
func newVerdictStore(cfg *config.Daemon, network messenger, logs *hostedLogs, tracker *quarantine.Tracker, logger *zap.Logger) *verdictStore {
	s := &verdictStore{cfg: cfg, network: network, tracker: tracker, logger: logger, local: logs.domains[cfg.FailureDomain]}
	for name, log := range logs.domains {
		network.Handle(channelVerdicts+name, func(ctx context.Context, _ string, payload []byte) ([]byte, error) {
			m, err := quarantinepb.Decode(payload)
			if err != nil {
				return nil, err
			}
			return nil, s.propose(ctx, log, m.Verdicts)
		})
	}
	return s
}

// setStored merges the verdicts that the log stores.
func (s *verdictStore) setStored(stored *quarantine.Stored) {
	s.mu.Lock()
	s.stored = stored.Ends()
	s.mu.Unlock()
	s.tracker.Merge(time.Now(), quarantine.Message{Verdicts: stored.Verdicts})
}

// run stores verdicts until ctx ends. It changes the voter that it asks after a
// failure.
func (s *verdictStore) run(ctx context.Context) {
	voters := sortByProximity(s.cfg, s.cfg.Logs.Domains[s.cfg.FailureDomain])
	for attempt := 0; ctx.Err() == nil && len(voters) > 0; wait(ctx, nil, storeInterval) {
		voter := voters[attempt%len(voters)]
		if err := s.storeMissing(ctx, voter); err != nil {
			s.logger.Debug("verdicts not stored", zap.String("peer", voter), zap.Error(err))
			attempt++
		}
	}
}

func (s *verdictStore) storeMissing(ctx context.Context, voter string) error {
	verdicts := s.tracker.Verdicts(time.Now())
	s.mu.Lock()
	missing := quarantine.Missing(s.stored, verdicts)
	s.mu.Unlock()
	if len(missing) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if voter == s.cfg.ID && s.local != nil {
		return s.propose(ctx, s.local, missing)
	}
	payload, err := quarantinepb.Encode(quarantine.Message{From: s.cfg.ID, Verdicts: missing})
	if err != nil {
		return err
	}
	_, err = s.network.Call(ctx, voter, channelVerdicts+s.cfg.FailureDomain, payload)
	return err
}

// propose adds the verdicts that a log lacks. Each entry sends the same ones.
func (s *verdictStore) propose(ctx context.Context, log *domainReplica, verdicts []quarantine.Verdict) error {
	missing := quarantine.Missing(log.machine.Verdicts().Ends(), verdicts)
	if len(missing) == 0 {
		return nil
	}
	command, err := domainstate.EncodeVerdicts(time.Now(), missing)
	if err != nil {
		return err
	}
	result, err := log.Propose(ctx, command)
	if err != nil {
		return err
	}
	if _, err := domainstate.DecodeResult(result); err != nil {
		return err
	}
	s.logger.Info("verdicts stored", zap.String("failureDomain", log.failureDomain), zap.Int("verdicts", len(missing)))
	return nil
}
