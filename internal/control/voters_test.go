package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/consensus"
	"github.com/bluebellfield/bluebellfield/internal/replica"
)

func node(instance string, storage uint64) consensus.NodeID {
	return consensus.NodeID{Instance: instance, Storage: storage}
}

// leading is the status of a leader "a" of the voters a, b and c, which heard
// of the others at the given ages.
func leading(now time.Time, ages map[string]time.Duration) replica.Status {
	s := replica.Status{}
	s.ID, s.Role = node("a", 1), consensus.Leader
	s.Members.Voters = []consensus.NodeID{node("a", 1), node("b", 1), node("c", 1)}
	for _, id := range s.Members.Voters[1:] {
		s.Peers = append(s.Peers, consensus.PeerProgress{ID: id, Voter: true, Heard: now.Add(-ages[id.Instance])})
	}
	return s
}

// Guards against a log that keeps counting an instance that is gone for good,
// or lost its data, and against voters that are exchanged without need.
func TestPlanVoterChange(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	alive := map[string]time.Duration{"b": 50 * time.Millisecond, "c": 50 * time.Millisecond}
	silent := map[string]time.Duration{"b": 50 * time.Millisecond, "c": 3 * time.Second}
	for _, test := range []struct {
		name   string
		ages   map[string]time.Duration
		change func(*replica.Status)
		want   *replica.VoterChange
	}{
		{"all well", alive, func(*replica.Status) {}, nil},
		{"not the leader", silent, func(s *replica.Status) { s.Role = consensus.Follower; s.Strangers = []consensus.NodeID{node("d", 4)} }, nil},
		{"a silent voter without a successor", silent, func(*replica.Status) {}, nil},
		{"a successor while all are well", alive, func(s *replica.Status) { s.Strangers = []consensus.NodeID{node("d", 4)} }, nil},
		{"a successor waits", silent, func(s *replica.Status) { s.Strangers = []consensus.NodeID{node("d", 4)} },
			&replica.VoterChange{Kind: replica.AddLearner, Instance: "d", Storage: 4}},
		{"the successor has caught up", silent, func(s *replica.Status) {
			s.Members.Learners = []consensus.NodeID{node("d", 4)}
			s.Peers = append(s.Peers, consensus.PeerProgress{ID: node("d", 4), Heard: now})
		}, &replica.VoterChange{Kind: replica.Remove, Instance: "c", Storage: 1}},
		{"the silent voter is removed", alive, func(s *replica.Status) {
			s.Members.Voters = s.Members.Voters[:2]
			s.Members.Learners = []consensus.NodeID{node("d", 4)}
			s.Peers = append(s.Peers[:1], consensus.PeerProgress{ID: node("d", 4), Heard: now})
		}, &replica.VoterChange{Kind: replica.AddVoter, Instance: "d", Storage: 4}},
		{"the successor is lost as well", silent, func(s *replica.Status) {
			s.Members.Learners = []consensus.NodeID{node("d", 4)}
			s.Peers = append(s.Peers, consensus.PeerProgress{ID: node("d", 4), Heard: now.Add(-3 * time.Second)})
		}, &replica.VoterChange{Kind: replica.Remove, Instance: "d", Storage: 4}},
		{"a voter lost its data", alive, func(s *replica.Status) { s.Strangers = []consensus.NodeID{node("c", 9)} },
			&replica.VoterChange{Kind: replica.Remove, Instance: "c", Storage: 1}},
	} {
		s := leading(now, test.ages)
		test.change(&s)
		got, due := planVoterChange(s, now)
		if test.want == nil {
			require.False(t, due, "%s: %+v", test.name, got)
			continue
		}
		require.True(t, due, test.name)
		require.Equal(t, *test.want, got, test.name)
	}
}
