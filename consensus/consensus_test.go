package consensus

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// simShards is the number of goroutines over which the independent seeds are
// distributed.
const simShards = 4

// runSeeds runs the seeds 0 to count-1 until onResult returns true, and returns
// how often each event occurred.
func runSeeds(count int, faults simFaults, onResult func(seed int64, err error) bool) map[string]int {
	total := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for shard := range simShards {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for seed := shard; seed < count; seed += simShards {
				s := newSim(int64(seed), 3+seed/simShards%2*2, faults)
				err := s.run()
				mu.Lock()
				for name, count := range s.counts {
					total[name] += count
				}
				total["entry"] += len(s.appliedLog)
				done := onResult(int64(seed), err)
				mu.Unlock()
				if done {
					return
				}
			}
		}()
	}
	wg.Wait()
	return total
}

// Guards against lost or diverging entries, two leaders in a term, stale reads,
// and a log that does not recover. Schedules mix lost, duplicated, reordered
// and delayed messages, crashes, lost disks, asymmetric partitions, clock skew
// and drift, pauses, voter changes and snapshots.
func TestSchedules(t *testing.T) {
	counts := runSeeds(2000, simFaults{}, func(seed int64, err error) bool {
		if err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		return err != nil
	})
	t.Log(counts)
	for _, name := range []string{"crash", "disk lost", "read", "snapshot installed", "voter change"} {
		if counts[name] == 0 {
			t.Errorf("no schedule contained the event %q", name)
		}
	}
}

// Guards against a checker that misses faults: it must detect each fault that
// the simulator injects into the protocol.
func TestCheckerFindsSeededFaults(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults simFaults
	}{
		{"a voter forgets its vote", simFaults{forgetVote: true}},
		{"acknowledgements are sent before the sync", simFaults{ackUnsynced: true}},
		{"a lost disk keeps its storage id", simFaults{keepStorageID: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var found error
			runSeeds(2000, test.faults, func(seed int64, err error) bool {
				if err != nil && found == nil {
					found = fmt.Errorf("seed %d: %w", seed, err)
				}
				return found != nil
			})
			if found == nil {
				t.Fatal("no seed detected the fault")
			}
			t.Log(found)
		})
	}
}

// newFaultFreeSim starts three voters without faults and returns their elected
// leader and the other two.
func newFaultFreeSim(t *testing.T) (s *sim, leader *simHost, others []*simHost) {
	s = newSim(1, 3, simFaults{})
	s.faultFree = true
	for i := 0; i < 100; i++ {
		s.step()
	}
	for _, h := range s.hosts[:3] {
		if h.node.IsLeader() {
			leader = h
			continue
		}
		others = append(others, h)
	}
	if leader == nil || !leader.node.LeaseValid(leader.clock) {
		t.Fatal("no leader with a lease")
	}
	return s, leader, others
}

func (s *sim) blockLink(from, to *simHost) {
	s.blockedLinks[[2]string{from.id.Instance, to.id.Instance}] = true
}

// isolate blocks all links of a host and drops all messages in transit.
func (s *sim) isolate(h *simHost) {
	s.inTransit = nil
	for _, other := range s.hosts {
		s.blockLink(h, other)
		s.blockLink(other, h)
	}
}

// Guards against stale lease reads by a leader that does not learn of its
// successor, for each way in which a successor can be elected. The last case
// exceeds the bound on clock drift and must produce a stale read.
func TestLeaseReadsWhileASuccessorIsElected(t *testing.T) {
	for _, test := range []struct {
		name          string
		elect         func(s *sim, leader, voter, candidate *simHost)
		steps         int
		wantSuccessor bool
		wantStaleRead bool
	}{
		{"leadership transfer", func(s *sim, leader, voter, candidate *simHost) {
			s.blockLink(voter, leader)
			s.blockLink(candidate, leader)
			_ = leader.node.TransferLeadership(leader.clock, candidate.id)
			s.processOutputs(leader)
		}, 14, true, false},
		{"restart of the voter on which the lease depends", func(s *sim, leader, voter, candidate *simHost) {
			s.isolate(leader)
			s.start(voter)
			candidate.node.electionDeadline = candidate.clock
		}, 14, false, false},
		{"vote without a pre-vote", func(s *sim, leader, voter, candidate *simHost) {
			s.isolate(leader)
			candidate.node.campaign(candidate.clock, false, false)
		}, 14, false, false},
		{"clock drift at the bound", func(s *sim, leader, voter, candidate *simHost) {
			s.isolate(leader)
			leader.clockRateError, voter.clockRateError, candidate.clockRateError = -simMaxClockDrift, simMaxClockDrift, simMaxClockDrift
		}, 60, true, false},
		{"clock drift beyond the bound", func(s *sim, leader, voter, candidate *simHost) {
			s.isolate(leader)
			leader.clockRateError, voter.clockRateError, candidate.clockRateError = -0.8, 0.6, 0.6
		}, 60, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, leader, others := newFaultFreeSim(t)
			voter, candidate := others[0], others[1]
			// The candidate loses contact with the leader, the voter keeps it.
			s.blockLink(leader, candidate)
			for i := 0; i < 60; i++ {
				s.step()
			}
			if candidate.node.term != leader.node.term || !leader.node.IsLeader() {
				t.Fatal("the pre-vote of one member deposed the leader")
			}
			clear(s.blockedLinks)
			if test.name == "leadership transfer" {
				for i := 0; i < 20; i++ {
					s.step()
				}
			}
			test.elect(s, leader, voter, candidate)
			successor := false
			for i := 0; i < test.steps && s.err == nil; i++ {
				s.step()
				s.read(leader)
				successor = successor || candidate.node.IsLeader() || voter.node.IsLeader()
			}
			if successor != test.wantSuccessor {
				t.Fatalf("successor elected: %v, want %v", successor, test.wantSuccessor)
			}
			if (s.err != nil) != test.wantStaleRead {
				t.Fatalf("violation: %v, want one: %v", s.err, test.wantStaleRead)
			}
		})
	}
}

// Guards against an entry of an earlier term that counts as committed as soon
// as a majority stores it: a later leader may still replace it. Reads and voter
// changes must therefore wait for a committed entry of the leader's own term.
// A read without a lease must not be completed by a response to a message sent
// before the read began.
func TestNewLeaderCommitsOnlyThroughItsOwnTerm(t *testing.T) {
	id := func(name string) NodeID { return NodeID{name, 1} }
	now := time.Unix(100, 0)
	members := Members{Voters: []NodeID{id("a"), id("b"), id("c")}}
	n, err := New(Config{ID: id("a")}, Persisted{Hard: HardState{Term: 2}, Snapshot: SnapshotMeta{Index: 1, Term: 1, Members: members},
		Entries: []Entry{{Index: 2, Term: 2}}}, now)
	if err != nil {
		t.Fatal(err)
	}
	step := func(m Message) Output {
		m.From, m.To, m.Term = id("b"), id("a"), n.term
		if m.Type == MsgPreVoteResponse {
			m.Term++
		}
		if err := n.Step(now, m); err != nil {
			t.Fatal(err)
		}
		out := n.Ready()
		n.Advance(out)
		return out
	}
	now = n.NextDeadline()
	n.Tick(now)
	step(Message{Type: MsgPreVoteResponse})
	step(Message{Type: MsgVoteResponse})
	step(Message{Type: MsgAppendResponse, Index: 2, Round: 1})
	if _, err := n.ReadIndex(now); n.commit != 1 || err != ErrNotReady || n.LeaseValid(now) {
		t.Fatalf("commit %d, read: %v, lease: %v", n.commit, err, n.LeaseValid(now))
	}
	if out := step(Message{Type: MsgReadIndex, Read: 9}); len(out.Messages) != 1 || !out.Messages[0].Reject {
		t.Fatalf("response to a follower's read: %+v", out.Messages)
	}
	if _, _, err := n.ProposeVoterChange(now, VoterChange{AddLearner, id("d")}); err != ErrNotReady {
		t.Fatalf("voter change: %v", err)
	}
	step(Message{Type: MsgAppendResponse, Index: 3, Round: 1})
	if _, err := n.ReadIndex(now); n.commit != 3 || err != nil || !n.LeaseValid(now) || len(n.Ready().Reads) != 1 {
		t.Fatalf("commit %d, read: %v", n.commit, err)
	}

	// Once the lease has expired, a read needs a response to a message sent after
	// it began.
	now = now.Add(DefaultElectionTimeout)
	if _, err := n.ReadIndex(now); err != nil || n.LeaseValid(now) {
		t.Fatalf("read: %v", err)
	}
	if out := step(Message{Type: MsgAppendResponse, Index: 3, Round: 1}); len(out.Reads) != 0 {
		t.Fatal("a response to an earlier message completed the read")
	}
	if out := step(Message{Type: MsgAppendResponse, Index: 3, Round: 2}); len(out.Reads) != 1 || !out.Reads[0].OK {
		t.Fatal("the read was not completed")
	}
}
