package control

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/consensus"
	"github.com/bluebellfield/bluebellfield/internal/replica"
)

func node(instance string, storage uint64) consensus.NodeID {
	return consensus.NodeID{Instance: instance, Storage: storage}
}

// leaderStatus returns the status of leader "a" with the voters a, b and c. The
// ages are the times since the last contact with b and c.
func leaderStatus(now time.Time, ages map[string]time.Duration) replica.Status {
	s := replica.Status{}
	s.ID, s.Role = node("a", 1), consensus.Leader
	s.Members.Voters = []consensus.NodeID{node("a", 1), node("b", 1), node("c", 1)}
	for _, id := range s.Members.Voters[1:] {
		s.Peers = append(s.Peers, consensus.PeerProgress{ID: id, Voter: true, LastContact: now.Add(-ages[id.Instance])})
	}
	return s
}

// addLearners adds learners that were in contact at the given time.
func addLearners(s *replica.Status, now time.Time, instances ...string) {
	for _, instance := range instances {
		s.Members.Learners = append(s.Members.Learners, node(instance, 4))
		s.Peers = append(s.Peers, consensus.PeerProgress{ID: node(instance, 4), LastContact: now})
	}
}

// addVoters adds voters that were in contact at the given time.
func addVoters(s *replica.Status, now time.Time, instances ...string) {
	for _, instance := range instances {
		s.Members.Voters = append(s.Members.Voters, node(instance, 4))
		s.Peers = append(s.Peers, consensus.PeerProgress{ID: node(instance, 4), Voter: true, LastContact: now})
	}
}

// Guards against control instances that stay outside the log and cannot serve
// reads, against a log that tolerates fewer losses than its instances allow or
// keeps members that are gone or have lost their data, and against unnecessary
// replacements of voters.
func TestPlanVoterChange(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	alive := map[string]time.Duration{"b": 50 * time.Millisecond, "c": 50 * time.Millisecond}
	silent := map[string]time.Duration{"b": 50 * time.Millisecond, "c": 3 * time.Second}
	domains := map[string]string{"a": "one", "b": "one", "c": "two", "in-a": "one", "in-c": "two"}
	for _, test := range []struct {
		name   string
		ages   map[string]time.Duration
		change func(*replica.Status)
		want   *replica.VoterChange
	}{
		{"all well", alive, func(*replica.Status) {}, nil},
		{"not the leader", silent, func(s *replica.Status) { s.Role = consensus.Follower; s.NonMembers = []consensus.NodeID{node("d", 4)} }, nil},
		{"a silent voter without a successor", silent, func(*replica.Status) {}, nil},
		{"a fourth instance follows the log", alive, func(s *replica.Status) { s.NonMembers = []consensus.NodeID{node("d", 4)} },
			&replica.VoterChange{Kind: replica.AddLearner, Instance: "d", Storage: 4}},
		{"four instances have three voters", alive, func(s *replica.Status) { addLearners(s, now, "d") }, nil},
		{"five instances have five voters", alive, func(s *replica.Status) { addLearners(s, now, "d", "e") },
			&replica.VoterChange{Kind: replica.AddVoter, Instance: "d", Storage: 4}},
		{"the learner of the failure domain with the fewest voters", alive, func(s *replica.Status) { addLearners(s, now, "in-a", "in-c") },
			&replica.VoterChange{Kind: replica.AddVoter, Instance: "in-c", Storage: 4}},
		{"a sixth instance follows the log", alive, func(s *replica.Status) {
			addVoters(s, now, "d", "e")
			s.NonMembers = []consensus.NodeID{node("f", 4)}
		}, &replica.VoterChange{Kind: replica.AddLearner, Instance: "f", Storage: 4}},
		{"six instances have five voters", alive, func(s *replica.Status) { addVoters(s, now, "d", "e"); addLearners(s, now, "f") }, nil},
		{"two of five voters are silent", silent, func(s *replica.Status) {
			addVoters(s, now.Add(-3*time.Second), "d")
			addVoters(s, now, "e")
			s.Members.Voters = slices.DeleteFunc(s.Members.Voters, func(id consensus.NodeID) bool { return id.Instance == "c" })
			addLearners(s, now, "f")
		}, &replica.VoterChange{Kind: replica.AddVoter, Instance: "f", Storage: 4}},
		{"a learner takes the place of a silent voter", silent, func(s *replica.Status) { addVoters(s, now, "d", "e"); addLearners(s, now, "f") },
			&replica.VoterChange{Kind: replica.Remove, Instance: "c", Storage: 1}},
		{"a successor waits", silent, func(s *replica.Status) { s.NonMembers = []consensus.NodeID{node("d", 4)} },
			&replica.VoterChange{Kind: replica.AddLearner, Instance: "d", Storage: 4}},
		{"the successor has caught up", silent, func(s *replica.Status) {
			s.Members.Learners = []consensus.NodeID{node("d", 4)}
			s.Peers = append(s.Peers, consensus.PeerProgress{ID: node("d", 4), LastContact: now})
		}, &replica.VoterChange{Kind: replica.Remove, Instance: "c", Storage: 1}},
		{"the silent voter is removed", alive, func(s *replica.Status) {
			s.Members.Voters = s.Members.Voters[:2]
			s.Members.Learners = []consensus.NodeID{node("d", 4)}
			s.Peers = append(s.Peers[:1], consensus.PeerProgress{ID: node("d", 4), LastContact: now})
		}, &replica.VoterChange{Kind: replica.AddVoter, Instance: "d", Storage: 4}},
		{"the successor is lost as well", silent, func(s *replica.Status) {
			s.Members.Learners = []consensus.NodeID{node("d", 4)}
			s.Peers = append(s.Peers, consensus.PeerProgress{ID: node("d", 4), LastContact: now.Add(-3 * time.Second)})
		}, &replica.VoterChange{Kind: replica.Remove, Instance: "d", Storage: 4}},
		{"a voter lost its data", alive, func(s *replica.Status) { s.NonMembers = []consensus.NodeID{node("c", 9)} },
			&replica.VoterChange{Kind: replica.Remove, Instance: "c", Storage: 1}},
	} {
		s := leaderStatus(now, test.ages)
		test.change(&s)
		got, due := planVoterChange(s, domains, now)
		if test.want == nil {
			require.False(t, due, "%s: %+v", test.name, got)
			continue
		}
		require.True(t, due, test.name)
		require.Equal(t, *test.want, got, test.name)
	}
}
