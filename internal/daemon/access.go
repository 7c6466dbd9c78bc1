package daemon

import (
	"context"
	"fmt"

	"github.com/bluebellfield/bluebellfield/claim"
	"github.com/bluebellfield/bluebellfield/internal/replica"
)

// ProposeCommand commits an encoded command of the global log through this
// daemon and returns the encoded result.
func (d *Daemon) ProposeCommand(ctx context.Context, command []byte) ([]byte, error) {
	return d.shared.global.Propose(ctx, command)
}

// LogStatus returns the status of a log that this daemon hosts, and false for
// any other log.
func (d *Daemon) LogStatus(log string) (replica.Status, bool) {
	r := d.logs.replicas()[log]
	if r == nil {
		return replica.Status{}, false
	}
	return r.Status(), true
}

// ChangeVoters applies a membership change to a log that this daemon hosts.
func (d *Daemon) ChangeVoters(ctx context.Context, log string, c replica.VoterChange) error {
	r := d.logs.replicas()[log]
	if r == nil {
		return fmt.Errorf("log %q is not hosted by %s", log, d.cfg.ID)
	}
	return r.ProposeVoterChange(ctx, c)
}

// ClaimStats returns the claim counts of the local replica of the global log,
// and zero counts if this daemon hosts none.
func (d *Daemon) ClaimStats() claim.Stats {
	if d.logs.global == nil {
		return claim.Stats{}
	}
	return d.logs.global.machine.ClaimStats()
}
