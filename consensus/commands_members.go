package consensus

import (
	"encoding/json"
	"slices"
	"time"
)

// maxPromoteLag is the largest number of missing entries with which a learner
// may become a voter. A voter that lags further could delay commits until it
// has caught up.
const maxPromoteLag = 128

// ProposeVoterChange appends a change of a single member, which takes effect
// as soon as it is appended. A second change is rejected until the first is
// committed, so that majorities of consecutive memberships always overlap.
func (n *Node) ProposeVoterChange(now time.Time, c VoterChange) (index, term uint64, err error) {
	if err := n.checkAcceptsCommands(); err != nil {
		return 0, 0, err
	}
	if !n.committedInTerm() {
		return 0, 0, ErrNotReady
	}
	current := n.log.latestMembers()
	if current.index > n.commit {
		return 0, 0, ErrChangePending
	}
	members, err := n.applyVoterChange(now, current.members, c)
	if err != nil {
		return 0, 0, err
	}
	data, err := json.Marshal(members)
	if err != nil {
		return 0, 0, err
	}
	index, term, err = n.appendToLog(EntryMembers, data)
	n.updatePeers(now)
	return index, term, err
}

// applyVoterChange validates a change and returns the resulting members.
func (n *Node) applyVoterChange(now time.Time, m Members, c VoterChange) (Members, error) {
	next := Members{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
	voter, learner := slices.Index(m.Voters, c.Node), slices.Index(m.Learners, c.Node)
	switch c.Kind {
	case AddLearner:
		if m.HasInstance(c.Node.Instance) {
			return m, ErrAlreadyMember
		}
		next.Learners = append(next.Learners, c.Node)
	case PromoteLearner:
		if voter >= 0 {
			return m, ErrAlreadyMember
		}
		if learner < 0 {
			return m, ErrNotMember
		}
		p := n.peer(c.Node)
		if p.volatile || p.durable+maxPromoteLag < n.log.last() || now.Sub(p.lastContact) >= n.cfg.ElectionTimeout {
			return m, ErrNotCaughtUp
		}
		next.Learners = slices.Delete(next.Learners, learner, learner+1)
		next.Voters = append(next.Voters, c.Node)
	case RemoveMember:
		switch {
		case c.Node == n.cfg.ID:
			return m, ErrRemoveLeader
		case voter >= 0 && len(m.Voters) == 1:
			return m, ErrRemoveLastVoter
		case voter >= 0:
			next.Voters = slices.Delete(next.Voters, voter, voter+1)
		case learner >= 0:
			next.Learners = slices.Delete(next.Learners, learner, learner+1)
		default:
			return m, ErrNotMember
		}
	}
	return next, nil
}
