package consensus

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// simShards run at the same time; the verdict of each seed is independent.
const simShards = 4

func runSeeds(count int, faults simFaults, stop func(seed int64, err error) bool) map[string]int {
	total := map[string]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for shard := range simShards {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for seed := shard; seed < count; seed += simShards {
				s := newSim(int64(seed), 3+seed/simShards%2*2, faults)
				err := s.run()
				mu.Lock()
				for name, n := range s.counts {
					total[name] += n
				}
				total["entry"] += len(s.log)
				done := stop(int64(seed), err)
				mu.Unlock()
				if done {
					return
				}
			}
		}()
	}
	wait.Wait()
	return total
}

// Guards against lost or differing entries, two leaders in a term, stale
// reads, and a log that does not recover, under any mix of lost, duplicated,
// reordered and delayed messages, crashes, lost disks, asymmetric cuts, clock
// skew and drift, pauses, voter changes and snapshots.
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
			t.Errorf("the schedules had no %s", name)
		}
	}
}

// Shows that the checker finds faults: each seeded fault must be found.
func TestCheckerFindsSeededFaults(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults simFaults
	}{
		{"a voter forgets its vote", simFaults{forgetVote: true}},
		{"acknowledgements leave before the sync", simFaults{ackUnsynced: true}},
		{"a lost disk passes for the former voter", simFaults{keepStorageID: true}},
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
				t.Fatal("no seed found the fault")
			}
			t.Log(found)
		})
	}
}

// calmSim returns three voters without faults and the leader they elected.
func calmSim(t *testing.T) (s *sim, leader *simHost, others []*simHost) {
	s = newSim(1, 3, simFaults{})
	s.calm = true
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

func (s *sim) cutFrom(from, to *simHost) { s.cut[[2]string{from.id.Instance, to.id.Instance}] = true }

func (s *sim) isolate(h *simHost) {
	s.network = nil
	for _, other := range s.hosts {
		s.cutFrom(h, other)
		s.cutFrom(other, h)
	}
}

// Guards against stale lease reads of a leader that does not hear of its
// successor, in each way that a successor can come into being. The last case
// breaks the bound on purpose and shows that the check finds a stale read.
func TestLeaseReadsWhileASuccessorIsElected(t *testing.T) {
	for _, test := range []struct {
		name   string
		elect  func(s *sim, leader, voter, candidate *simHost)
		steps  int
		leads  bool
		broken bool
	}{
		{"leadership transfer", func(s *sim, leader, voter, candidate *simHost) {
			s.cutFrom(voter, leader)
			s.cutFrom(candidate, leader)
			_ = leader.node.TransferLeadership(leader.clock, candidate.id)
			s.work(leader)
		}, 14, true, false},
		{"restart of the voter that keeps the lease", func(s *sim, leader, voter, candidate *simHost) {
			s.isolate(leader)
			s.start(voter)
			candidate.node.electionDeadline = candidate.clock
		}, 14, false, false},
		{"vote without a pre-vote", func(s *sim, leader, voter, candidate *simHost) {
			s.isolate(leader)
			candidate.node.campaign(candidate.clock, false, false)
		}, 14, false, false},
		{"clocks at the bound", func(s *sim, leader, voter, candidate *simHost) {
			s.isolate(leader)
			leader.rate, voter.rate, candidate.rate = -simDrift, simDrift, simDrift
		}, 60, true, false},
		{"clocks beyond the bound", func(s *sim, leader, voter, candidate *simHost) {
			s.isolate(leader)
			leader.rate, voter.rate, candidate.rate = -0.8, 0.6, 0.6
		}, 60, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, leader, others := calmSim(t)
			voter, candidate := others[0], others[1]
			// The candidate has not heard the leader for long, the voter has.
			s.cutFrom(leader, candidate)
			for i := 0; i < 60; i++ {
				s.step()
			}
			if candidate.node.term != leader.node.term || !leader.node.IsLeader() {
				t.Fatal("the pre-vote of one member unseated the leader")
			}
			clear(s.cut)
			if test.name == "leadership transfer" {
				for i := 0; i < 20; i++ {
					s.step()
				}
			}
			test.elect(s, leader, voter, candidate)
			led := false
			for i := 0; i < test.steps && s.err == nil; i++ {
				s.step()
				s.read(leader)
				led = led || candidate.node.IsLeader() || voter.node.IsLeader()
			}
			if led != test.leads {
				t.Fatalf("a successor leads: %v, want %v", led, test.leads)
			}
			if (s.err != nil) != test.broken {
				t.Fatalf("violation: %v", s.err)
			}
		})
	}
}

// Guards against an entry of an earlier term that counts as committed because
// a majority stores it: a later leader may still replace it. Reads and voter
// changes must wait for an entry of the leader's own term for the same reason.
// A read without a lease must not be completed by an answer sent before it.
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
		t.Fatalf("answer to a follower's read: %+v", out.Messages)
	}
	if _, _, err := n.ProposeVoterChange(now, VoterChange{AddLearner, id("d")}); err != ErrNotReady {
		t.Fatalf("voter change: %v", err)
	}
	step(Message{Type: MsgAppendResponse, Index: 3, Round: 1})
	if _, err := n.ReadIndex(now); n.commit != 3 || err != nil || !n.LeaseValid(now) || len(n.Ready().Reads) != 1 {
		t.Fatalf("commit %d, read: %v", n.commit, err)
	}

	// After the lease a read needs an answer to a message sent after it began.
	now = now.Add(DefaultElectionTimeout)
	if _, err := n.ReadIndex(now); err != nil || n.LeaseValid(now) {
		t.Fatalf("read: %v", err)
	}
	if out := step(Message{Type: MsgAppendResponse, Index: 3, Round: 1}); len(out.Reads) != 0 {
		t.Fatal("an earlier answer completed the read")
	}
	if out := step(Message{Type: MsgAppendResponse, Index: 3, Round: 2}); len(out.Reads) != 1 || !out.Reads[0].OK {
		t.Fatal("the read was not completed")
	}
}
