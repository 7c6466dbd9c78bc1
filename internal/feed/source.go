// Package feed carries committed settings and replica groups from control
// instances to all daemons. A follower asks for what is newer than it has; the
// source holds the question until there is something newer. A follower that
// was cut off or restarted asks with an older revision and gets all that it
// missed in one answer.
package feed

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/group"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/settings"
)

// Channels of the feed between daemons.
const (
	// DomainChannel serves what is in force in a failure domain.
	DomainChannel = "feed.domain"
	// GlobalChannel serves the committed settings of the global log.
	GlobalChannel = "feed.global"
)

const (
	// holdTime bounds how long a question is held. At 27 followers for each
	// control instance it costs three small messages a second.
	holdTime = 10 * time.Second
	// leaderCheck is how often a held question is ended when the source has
	// lost its leader, since its state may then be old.
	leaderCheck = time.Second
	// maxRecords bounds the records of an answer; beyond it the tree is smaller.
	maxRecords = 1000
)

// StepFeed names the step of errors of the feed.
const StepFeed = "settings feed"

// State is what a source serves.
type State interface {
	Tree() *settings.Tree
	// Since returns the records after a revision, false when they are not kept.
	Since(revision uint64) ([]settings.Record, bool)
	// Groups returns the replica groups of each known failure domain.
	Groups() map[string]*group.State
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// Led reports whether a leader was heard of lately.
	Led() bool
	// Barrier returns when the state is at least as new as any at the call.
	Barrier(ctx context.Context) error
}

// Follower tells what a follower has in force.
type Follower struct {
	ID       string    `json:"id"`
	Revision uint64    `json:"revision"`
	Heard    time.Time `json:"heard"`
}

// Source answers followers.
type Source struct {
	state State
	now   func() time.Time

	mu        sync.Mutex
	followers map[string]Follower
}

// NewSource returns a source of a state.
func NewSource(state State) *Source {
	return &Source{state: state, now: time.Now, followers: map[string]Follower{}}
}

// Followers returns what each follower had in force when it last asked.
func (s *Source) Followers() []Follower {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]Follower, 0, len(s.followers))
	for _, f := range s.followers {
		all = append(all, f)
	}
	return all
}

// Serve is the peer handler of the feed.
func (s *Source) Serve(ctx context.Context, from string, payload []byte) ([]byte, error) {
	var req Request
	if err := proto.Unmarshal(payload, &req); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, fault.At{Step: StepFeed, Peer: from}, fault.NotRun)
	}
	reply, err := s.Answer(ctx, from, &req)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(reply)
}

// Answer waits for something newer than the follower has.
func (s *Source) Answer(ctx context.Context, from string, req *Request) (*Reply, error) {
	s.note(from, req)
	if req.Barrier {
		if err := s.state.Barrier(ctx); err != nil {
			return nil, err
		}
	}
	hold := time.NewTimer(holdTime)
	defer hold.Stop()
	check := time.NewTicker(leaderCheck)
	defer check.Stop()
	for {
		changed := s.state.Changed()
		if reply, err := s.newer(req); err != nil || reply != nil {
			return reply, err
		}
		if req.Barrier {
			return &Reply{}, nil
		}
		select {
		case <-changed:
		case <-hold.C:
			return &Reply{}, nil
		case <-check.C:
			if !s.state.Led() {
				return nil, fault.New(fault.Unavailable, fault.At{Step: StepFeed}, fault.NotRun, "the control instance has no leader")
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *Source) note(from string, req *Request) {
	if req.GroupsOnly {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followers[from] = Follower{ID: from, Revision: req.Revision, Heard: s.now()}
}

// newer returns the reply to a request, nil when there is nothing newer.
func (s *Source) newer(req *Request) (*Reply, error) {
	var reply Reply
	found := false
	if !req.GroupsOnly && s.state.Tree().Revision() > req.Revision {
		if err := s.addSettings(&reply, req.Revision); err != nil {
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
