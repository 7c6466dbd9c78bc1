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
	// voterInterval is the time between two looks at the members of the log.
	voterInterval = 500 * time.Millisecond
	// voterSilence is the time without contact after which a voter gives its
	// place to an instance that waits for one: longer than a restart, and short
	// enough that a successor counts within 4 s of its start.
	voterSilence = 2 * time.Second
	// changeTimeout bounds one voter change, so that the next look can decide
	// anew.
	changeTimeout = 2 * time.Second
	// maxVoters bounds the voters: five bear the loss of two.
	maxVoters = 5
)

// planVoterChange returns the next change of the members, if one is due. Every
// instance becomes a member, since others know nothing of the log's state. An
// instance that lost its data is removed and added again, a silent learner is
// removed, and learners fill up the voters or take the place of a silent one.
// Domains gives the failure domains of instances.
func planVoterChange(s replica.Status, domains map[string]string, now time.Time) (replica.VoterChange, bool) {
	if !s.Leads() {
		return replica.VoterChange{}, false
	}
	for _, stranger := range s.Strangers {
		if s.Members.Holds(stranger.Instance) {
			// Its former storage id is still a member and will never answer.
			return replica.VoterChange{Kind: replica.Remove, Instance: stranger.Instance, Storage: formerStorage(s.Members, stranger)}, true
		}
	}
	for _, learner := range s.Members.Learners {
		if silentMember(s, learner, now) {
			return replica.VoterChange{Kind: replica.Remove, Instance: learner.Instance, Storage: learner.Storage}, true
		}
	}
	if len(s.Members.Learners) > 0 {
		if len(s.Members.Voters) < targetVoters(s.Members) {
			learner := bestSpread(s.Members, domains)
			return replica.VoterChange{Kind: replica.AddVoter, Instance: learner.Instance, Storage: learner.Storage}, true
		}
		// The learner that replaces a silent voter has caught up before the voter
		// is removed, so that the log is short of a vote for as little time as
		// possible.
		if silent := silentVoter(s, now); silent.Instance != "" {
			return replica.VoterChange{Kind: replica.Remove, Instance: silent.Instance, Storage: silent.Storage}, true
		}
	}
	if len(s.Strangers) > 0 {
		return replica.VoterChange{Kind: replica.AddLearner, Instance: s.Strangers[0].Instance, Storage: s.Strangers[0].Storage}, true
	}
	return replica.VoterChange{}, false
}

// targetVoters is the number of voters to have: the largest odd number of
// members, between three and maxVoters. Silent ones count, so that the loss of
// some does not shrink the log to fewer voters than it has when they return.
func targetVoters(m consensus.Members) int {
	odd := (len(m.Voters)+len(m.Learners)-1)/2*2 + 1
	return min(max(3, odd), maxVoters)
}

// bestSpread returns the learner whose failure domain has the fewest voters, so
// that the loss of a failure domain takes as few votes as possible.
func bestSpread(m consensus.Members, domains map[string]string) consensus.NodeID {
	voters := map[string]int{}
	for _, id := range m.Voters {
		voters[domains[id.Instance]]++
	}
	return slices.MinFunc(m.Learners, func(a, b consensus.NodeID) int {
		return cmp.Compare(voters[domains[a.Instance]], voters[domains[b.Instance]])
	})
}

func formerStorage(m consensus.Members, stranger consensus.NodeID) uint64 {
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		if id.Instance == stranger.Instance {
			return id.Storage
		}
	}
	return 0
}

func silentVoter(s replica.Status, now time.Time) consensus.NodeID {
	for _, id := range s.Members.Voters {
		if id != s.ID && silentMember(s, id, now) {
			return id
		}
	}
	return consensus.NodeID{}
}

func silentMember(s replica.Status, id consensus.NodeID, now time.Time) bool {
	for _, p := range s.Peers {
		if p.ID == id {
			return now.Sub(p.Heard) > voterSilence
		}
	}
	return false
}

// manageVoters changes the members of the log while this instance leads it.
func (c *Control) manageVoters() {
	ticker := time.NewTicker(voterInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case now := <-ticker.C:
			if change, due := planVoterChange(c.replica.Status(), c.domains(), now); due {
				c.changeVoters(change)
			}
		}
	}
}

// domains returns the failure domains of the control instances that are known.
func (c *Control) domains() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	domains := map[string]string{c.o.ID: c.o.FailureDomain}
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
	c.o.Logger.Info("voter change", zap.String("kind", string(change.Kind)), zap.String("instance", change.Instance), zap.Error(err))
}
