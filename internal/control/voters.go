package control

import (
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

// planVoterChange returns the next change of the members, if one is due. An
// instance that lost its data is removed and added again; a silent voter gives
// way to a waiting instance; a learner becomes a voter.
func planVoterChange(s replica.Status, now time.Time) (replica.VoterChange, bool) {
	if !s.Leads() {
		return replica.VoterChange{}, false
	}
	for _, stranger := range s.Strangers {
		if s.Members.Holds(stranger.Instance) {
			// Its former storage id is still a member and will never answer.
			return replica.VoterChange{Kind: replica.Remove, Instance: stranger.Instance, Storage: formerStorage(s.Members, stranger)}, true
		}
	}
	// A waiting instance catches up before a silent voter is removed, so that
	// the log is without a spare vote for as short a time as possible.
	silent := silentVoter(s, now)
	if len(s.Members.Learners) > 0 {
		learner := s.Members.Learners[0]
		if silentMember(s, learner, now) {
			return replica.VoterChange{Kind: replica.Remove, Instance: learner.Instance, Storage: learner.Storage}, true
		}
		if silent.Instance != "" && len(s.Members.Voters) >= targetVoters(s.Members) {
			return replica.VoterChange{Kind: replica.Remove, Instance: silent.Instance, Storage: silent.Storage}, true
		}
		return replica.VoterChange{Kind: replica.AddVoter, Instance: learner.Instance, Storage: learner.Storage}, true
	}
	if len(s.Strangers) > 0 && (silent.Instance != "" || len(s.Members.Voters) < targetVoters(s.Members)) {
		return replica.VoterChange{Kind: replica.AddLearner, Instance: s.Strangers[0].Instance, Storage: s.Strangers[0].Storage}, true
	}
	return replica.VoterChange{}, false
}

// targetVoters is the number of voters to keep: the odd number that the log
// was created with, or three.
func targetVoters(m consensus.Members) int {
	return min(max(3, len(m.Voters)|1), maxVoters)
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
			if change, due := planVoterChange(c.replica.Status(), now); due {
				c.changeVoters(change)
			}
		}
	}
}

func (c *Control) changeVoters(change replica.VoterChange) {
	ctx, cancel := context.WithTimeout(c.ctx, changeTimeout)
	defer cancel()
	err := c.replica.ProposeVoterChange(ctx, change)
	c.o.Logger.Info("voter change", zap.String("kind", string(change.Kind)), zap.String("instance", change.Instance), zap.Error(err))
}
