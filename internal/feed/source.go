// Package feed distributes committed settings and replica groups from control
// instances to all daemons by long polling. A follower sends the revisions that
// it has, and the source replies once it has newer ones. A follower that was
// disconnected or restarted sends an older revision and gets everything that it
// missed in one reply.
package feed

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/group"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/quarantine"
	"github.com/bluebellfield/bluebellfield/settings"
)

// Channel names of the feed.
const (
	// DomainChannel serves the settings and replica groups of a domain log.
	DomainChannel = "feed.domain"
	// GlobalChannel serves the settings of the global log.
	GlobalChannel = "feed.global"
)

const (
	// longPollTimeout limits how long a request waits for newer state. With 27
	// followers per control instance, idle polling costs three small messages
	// per second.
	longPollTimeout = 10 * time.Second
	// leaderCheckInterval is how often a waiting request checks that the source
	// still has a leader. It fails if not, since the state may then be stale.
	leaderCheckInterval = time.Second
	// maxRecords limits the records in a reply. Beyond it the whole tree is
	// smaller.
	maxRecords = 1000
)

// StepFeed is the step recorded in errors of the feed.
const StepFeed = "settings feed"

// State is the replicated state that a source serves.
type State interface {
	Tree() *settings.Tree
	// Since returns the records after a revision. It returns false if they are
	// no longer retained.
	Since(revision uint64) ([]settings.Record, bool)
	// Groups returns the replica groups of each known failure domain.
	Groups() map[string]*group.State
	// Verdicts returns the stored verdicts, nil if the log stores none.
	Verdicts() *quarantine.Stored
	// Changed returns a channel that is closed on the next change.
	Changed() <-chan struct{}
	// HasLeader reports whether the replica currently knows a leader.
	HasLeader() bool
	// Barrier waits until the state is at least as new as that of any replica at
	// the time of the call.
	Barrier(ctx context.Context) error
}

// Follower is the last known state of a follower.
type Follower struct {
	ID       string    `json:"id"`
	Revision uint64    `json:"revision"`
	LastSeen time.Time `json:"heard"`
}

// Source serves the feed to followers.
type Source struct {
	state State
	now   func() time.Time

	mu        sync.Mutex
	followers map[string]Follower
}

// NewSource returns a Source that serves state.
func NewSource(state State) *Source {
	return &Source{state: state, now: time.Now, followers: map[string]Follower{}}
}

// Followers returns the revision that each follower reported in its last
// request.
func (s *Source) Followers() []Follower {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]Follower, 0, len(s.followers))
	for _, f := range s.followers {
		all = append(all, f)
	}
	return all
}

// Serve handles an encoded feed request from a peer.
func (s *Source) Serve(ctx context.Context, from string, payload []byte) ([]byte, error) {
	var req Request
	if err := proto.Unmarshal(payload, &req); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, fault.Location{Step: StepFeed, Peer: from}, fault.NotRun)
	}
	reply, err := s.Poll(ctx, from, &req)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(reply)
}

// Poll waits until the state is newer than the request's revisions and returns
// the difference. After longPollTimeout, or at once for a request with a
// barrier, it returns an empty reply if there is none.
func (s *Source) Poll(ctx context.Context, from string, req *Request) (*Reply, error) {
	s.recordFollower(from, req)
	if req.Barrier {
		if err := s.state.Barrier(ctx); err != nil {
			return nil, err
		}
	}
	timeout := time.NewTimer(longPollTimeout)
	defer timeout.Stop()
	check := time.NewTicker(leaderCheckInterval)
	defer check.Stop()
	for {
		changed := s.state.Changed()
		if reply, err := s.buildReply(req); err != nil || reply != nil {
			return reply, err
		}
		if req.Barrier {
			return &Reply{}, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return &Reply{}, nil
		case <-check.C:
			if !s.state.HasLeader() {
				return nil, fault.New(fault.Unavailable, fault.Location{Step: StepFeed}, fault.NotRun, "the control instance has no leader")
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *Source) recordFollower(from string, req *Request) {
	if req.GroupsOnly {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followers[from] = Follower{ID: from, Revision: req.Revision, LastSeen: s.now()}
}

// buildReply returns the reply to a request, or nil if there is nothing newer.
func (s *Source) buildReply(req *Request) (*Reply, error) {
	var reply Reply
	found := false
	if !req.GroupsOnly && s.state.Tree().Revision() > req.Revision {
		if err := s.addSettings(&reply, req.Revision); err != nil {
			return nil, err
		}
		found = true
	}
	if stored := s.state.Verdicts(); req.Verdicts != nil && stored != nil && stored.Revision > req.GetVerdicts() {
		var err error
		if reply.Verdicts, err = json.Marshal(stored); err != nil {
			return nil, err
		}
		found = true
	}
	for domain, state := range s.state.Groups() {
		if known, ok := req.Groups[domain]; ok && known >= state.Revision {
			continue
		}
		data, err := json.Marshal(state)
		if err != nil {
			return nil, err
		}
		reply.Groups = append(reply.Groups, &Groups{FailureDomain: domain, State: data})
		found = true
	}
	if !found {
		return nil, nil
	}
	return &reply, nil
}

func (s *Source) addSettings(reply *Reply, revision uint64) error {
	records, ok := s.state.Since(revision)
	var err error
	if ok && len(records) > 0 && len(records) <= maxRecords {
		reply.Records, err = json.Marshal(records)
		return err
	}
	reply.Tree, err = json.Marshal(s.state.Tree())
	return err
}
