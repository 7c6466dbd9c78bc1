package control

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/deploymentstate"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
	"github.com/bluebellfield/bluebellfield/quarantine"
)

// serveVerdicts stores verdicts that an entry has reached, so that they survive a
// restart of all entries. The entry repeats those that are not stored.
func (c *Control) serveVerdicts(_ context.Context, from string, payload []byte) ([]byte, error) {
	var request mesh.VerdictList
	if err := proto.Unmarshal(payload, &request); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, fault.Location{Step: mesh.ChannelVerdicts, Peer: from}, fault.NotRun)
	}
	missing := c.missingVerdicts(request.Verdicts)
	if len(missing) == 0 || c.ctx.Err() != nil || !c.storingVerdicts.CompareAndSwap(false, true) {
		return nil, nil
	}
	c.wg.Go(func() {
		defer c.storingVerdicts.Store(false)
		if err := c.storeVerdicts(missing); err != nil {
			c.opts.Logger.Warn("verdicts not stored", zap.Int("verdicts", len(missing)), zap.String("peer", from), zap.Error(err))
		}
	})
	return nil, nil
}

// missingVerdicts returns the verdicts that are not stored yet.
func (c *Control) missingVerdicts(verdicts []*mesh.Verdict) []*deploymentstate.Verdict {
	_, stored := c.machine.Verdicts()
	ends := make(map[string]int64, len(stored))
	for _, v := range stored {
		ends[string(v.Digest)] = v.UntilUnixMillis
	}
	var missing []*deploymentstate.Verdict
	for _, v := range verdicts {
		if end, ok := ends[string(v.Digest)]; !ok || v.UntilUnixMillis-end > quarantine.VerdictTolerance.Milliseconds() {
			missing = append(missing, &deploymentstate.Verdict{Digest: v.Digest, UntilUnixMillis: v.UntilUnixMillis})
		}
	}
	return missing
}

func (c *Control) storeVerdicts(verdicts []*deploymentstate.Verdict) error {
	command, err := deploymentstate.EncodeAddVerdicts(time.Now(), verdicts)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, changeTimeout)
	defer cancel()
	if _, err := c.replica.Propose(ctx, command); err != nil {
		return err
	}
	c.opts.Logger.Info("verdicts stored", zap.Int("verdicts", len(verdicts)))
	return nil
}

// verdictList returns the stored verdicts as a message.
func (c *Control) verdictList() (changes uint64, list *mesh.VerdictList) {
	changes, stored := c.machine.Verdicts()
	list = &mesh.VerdictList{Verdicts: make([]*mesh.Verdict, len(stored))}
	for i, v := range stored {
		list.Verdicts[i] = &mesh.Verdict{Digest: v.Digest, UntilUnixMillis: v.UntilUnixMillis}
	}
	return changes, list
}

// announceVerdicts requests updates for the entries after a change of the stored
// verdicts.
func (c *Control) announceVerdicts() {
	changes, _ := c.machine.Verdicts()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.subscribers {
		if !s.control && s.verdictChanges != changes {
			c.requestFlush()
			return
		}
	}
}
