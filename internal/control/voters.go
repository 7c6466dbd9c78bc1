package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/consensus"
	"github.com/bluebellfield/bluebellfield/internal/replica"
)

const (
	// voterCheckInterval is the time between two checks of the log's members.
	voterCheckInterval = 500 * time.Millisecond
	// memberTimeout is the time without contact after which a learner is
	// removed and a voter is replaced by a learner. It is longer than a
	// restart, and short enough that the replacement votes within 4 s of its
	// start.
	memberTimeout = 2 * time.Second
	// changeTimeout limits one voter change, so that the next check can decide
	// again.
	changeTimeout = 2 * time.Second
	// maxVoters is the maximum number of voters. Five voters tolerate the loss
	// of two.
	maxVoters = 5
)

// planVoterChange returns the next membership change, if one is due. Every
// instance becomes a member, because other instances do not know the state of
// the log. An instance that lost its data is removed and added again, a silent
// learner is removed, and learners become additional voters or replace a silent
// one. Domains holds the failure domains of the instances.
func planVoterChange(s replica.Status, domains map[string]string, now time.Time) (replica.VoterChange, bool) {
	if !s.IsLeader() {
		return replica.VoterChange{}, false
	}
	for _, nonMember := range s.NonMembers {
		if s.Members.HasInstance(nonMember.Instance) {
			// The member entry has the former storage id, which will never
			// respond.
			return replica.VoterChange{Kind: replica.Remove, Instance: nonMember.Instance, Storage: memberStorage(s.Members, nonMember)}, true
		}
	}
	for _, learner := range s.Members.Learners {
		if isSilent(s, learner, now) {
			return replica.VoterChange{Kind: replica.Remove, Instance: learner.Instance, Storage: learner.Storage}, true
		}
	}
	if len(s.Members.Learners) > 0 {
		if len(s.Members.Voters) < targetVoters(s.Members) {
			learner := learnerToPromote(s.Members, domains)
			return replica.VoterChange{Kind: replica.AddVoter, Instance: learner.Instance, Storage: learner.Storage}, true
		}
		// The learner that replaces a silent voter has caught up before the
		// voter is removed, so that the log lacks a vote for as short a time as
		// possible.
		if silent := silentVoter(s, now); silent.Instance != "" {
			return replica.VoterChange{Kind: replica.Remove, Instance: silent.Instance, Storage: silent.Storage}, true
		}
	}
	if len(s.NonMembers) > 0 {
		return replica.VoterChange{Kind: replica.AddLearner, Instance: s.NonMembers[0].Instance, Storage: s.NonMembers[0].Storage}, true
	}
	return replica.VoterChange{}, false
}

// targetVoters returns the intended number of voters: the largest odd number of
// members, between three and maxVoters. Silent members count, so that the loss
// of some does not reduce the number of voters below what it is when they
// return.
func targetVoters(m consensus.Members) int {
	largestOdd := (len(m.Voters)+len(m.Learners)-1)/2*2 + 1
	return min(max(3, largestOdd), maxVoters)
}

// learnerToPromote returns the learner whose failure domain has the fewest
// voters, so that the loss of a failure domain costs as few votes as possible.
func learnerToPromote(m consensus.Members, domains map[string]string) consensus.NodeID {
	voters := map[string]int{}
	for _, id := range m.Voters {
		voters[domains[id.Instance]]++
	}
	return slices.MinFunc(m.Learners, func(a, b consensus.NodeID) int {
		return cmp.Compare(voters[domains[a.Instance]], voters[domains[b.Instance]])
	})
}

// memberStorage returns the storage id under which the instance of a non-member
// is still a member.
func memberStorage(m consensus.Members, nonMember consensus.NodeID) uint64 {
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		if id.Instance == nonMember.Instance {
			return id.Storage
		}
	}
	return 0
}

// silentVoter returns a voter other than this instance that has exceeded
// memberTimeout, or the zero id.
func silentVoter(s replica.Status, now time.Time) consensus.NodeID {
	for _, id := range s.Members.Voters {
		if id != s.ID && isSilent(s, id, now) {
			return id
		}
	}
	return consensus.NodeID{}
}

// isSilent reports whether a member has exceeded memberTimeout.
func isSilent(s replica.Status, id consensus.NodeID, now time.Time) bool {
	for _, p := range s.Peers {
		if p.ID == id {
			return now.Sub(p.LastContact) > memberTimeout
		}
	}
	return false
}

// runVoterChanges changes the members of the log while this instance leads it.
func (c *Control) runVoterChanges() {
	ticker := time.NewTicker(voterCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
			if change, due := planVoterChange(c.replica.Status(), c.failureDomains(), c.replica.Now()); due {
				c.changeVoters(change)
			}
		}
	}
}

// failureDomains returns the failure domains of the known control instances.
func (c *Control) failureDomains() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	domains := map[string]string{c.opts.ID: c.opts.FailureDomain}
	for id, s := range c.subscribers {
		if s.control {
			domains[id] = s.failureDomain
		}
	}
	return domains
}

func (c *Control) changeVoters(change replica.VoterChange) {
	ctx, cancel := context.WithTimeout(c.ctx, changeTimeout)
	defer cancel()
	err := c.replica.ProposeVoterChange(ctx, change)
	c.opts.Logger.Info("voter change", zap.String("kind", string(change.Kind)), zap.String("instance", change.Instance), zap.Error(err))
}
