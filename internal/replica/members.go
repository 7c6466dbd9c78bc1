package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/consensus"
)

// ChangeKind says what a VoterChange does.
type ChangeKind string

// Kinds of voter changes.
const (
	// AddVoter adds a learner, waits until it has caught up and makes it a
	// voter.
	AddVoter   ChangeKind = "add-voter"
	AddLearner ChangeKind = "add-learner"
	Remove     ChangeKind = "remove"
)

// VoterChange alters the members of a log. The storage id of an instance to
// add is the one it reported last; Storage overrides it.
type VoterChange struct {
	Kind     ChangeKind `json:"kind"`
	Instance string     `json:"instance"`
	Storage  uint64     `json:"storage,omitempty"`
}

// ProposeVoterChange changes one member, on the leader wherever it is. To
// remove the leader, transfer leadership first.
func (r *Replica) ProposeVoterChange(ctx context.Context, c VoterChange) error {
	body, err := json.Marshal(c)
	if err != nil {
		return notProposed(err)
	}
	_, err = r.onLeader(ctx, forwardChange, body, func(ctx context.Context) ([]byte, error) {
		return nil, r.changeHere(ctx, c)
	})
	return err
}

func (r *Replica) changeHere(ctx context.Context, c VoterChange) error {
	switch c.Kind {
	case AddLearner:
		return r.proposeChange(ctx, c, consensus.AddLearner)
	case Remove:
		return r.proposeChange(ctx, c, consensus.RemoveMember)
	case AddVoter:
		err := r.proposeChange(ctx, c, consensus.AddLearner)
		if err != nil && !errors.Is(err, consensus.ErrAlreadyMember) {
			return err
		}
		return r.promote(ctx, c)
	}
	return notProposed(fmt.Errorf("unknown kind of voter change %q", c.Kind))
}

// promote makes a learner a voter once it has caught up. The learner stays
// when the context ends before; the change can be repeated.
func (r *Replica) promote(ctx context.Context, c VoterChange) error {
	for {
		err := r.proposeChange(ctx, c, consensus.PromoteLearner)
		if !errors.Is(err, consensus.ErrNotCaughtUp) {
			return err
		}
		pause := time.NewTimer(retryPause)
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			return err
		}
	}
}

func (r *Replica) proposeChange(ctx context.Context, c VoterChange, kind consensus.VoterChangeKind) error {
	_, err := r.proposeHere(ctx, func(now time.Time) (uint64, uint64, error) {
		if !r.node.IsLeader() {
			return 0, 0, &consensus.NotLeaderError{Leader: r.node.Leader()}
		}
		id, err := r.resolve(c)
		if err != nil {
			return 0, 0, err
		}
		return r.node.ProposeVoterChange(now, consensus.VoterChange{Kind: kind, Node: id})
	})
	return err
}

// resolve finds the storage id of an instance: that of a member, or the one
// that the instance reported.
func (r *Replica) resolve(c VoterChange) (consensus.NodeID, error) {
	id := consensus.NodeID{Instance: c.Instance, Storage: c.Storage}
	if id.Storage != 0 {
		return id, nil
	}
	members := r.node.Status().Members
	for _, m := range slices.Concat(members.Voters, members.Learners) {
		if m.Instance == c.Instance {
			return m, nil
		}
	}
	if s, ok := r.strangers[c.Instance]; ok {
		id.Storage = s.storage
		return id, nil
	}
	return id, fmt.Errorf("instance %q has not reported a storage id", c.Instance)
}

// TransferLeadership hands leadership to a voter, to the one that is furthest
// when instance is empty, and returns when it has been handed over.
func (r *Replica) TransferLeadership(ctx context.Context, instance string) error {
	_, err := r.onLeader(ctx, forwardTransfer, []byte(instance), func(ctx context.Context) ([]byte, error) {
		return nil, r.transferHere(ctx, instance)
	})
	return err
}

func (r *Replica) transferHere(ctx context.Context, instance string) error {
	started := make(chan error, 1)
	if !r.submit(func(now time.Time, closing bool) {
		if closing {
			started <- ErrClosed
			return
		}
		started <- r.startTransfer(now, instance)
	}) {
		return notProposed(ErrClosed)
	}
	select {
	case err := <-started:
		if err != nil {
			return notProposed(err)
		}
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUnknownResult, ctx.Err())
	}
	give := time.NewTimer(r.o.LeaderWait)
	defer give.Stop()
	for {
		changed := r.Watch()
		if s := r.Status(); !s.Leads() || instance == r.o.ID {
			return nil
		}
		select {
		case <-changed:
		case <-give.C:
			return notProposed(errors.New("the target did not take over"))
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrUnknownResult, ctx.Err())
		}
	}
}

func (r *Replica) startTransfer(now time.Time, instance string) error {
	s := r.node.Status()
	if s.Role != consensus.Leader {
		return &consensus.NotLeaderError{Leader: s.Leader}
	}
	var target consensus.NodeID
	var best uint64
	for _, p := range s.Peers {
		named := p.ID.Instance == instance
		if p.Voter && !p.Volatile && (named || instance == "" && p.Match >= best) {
			target, best = p.ID, p.Match
		}
	}
	if instance == r.o.ID {
		return nil
	}
	if target.IsZero() {
		return consensus.ErrNotMember
	}
	return r.node.TransferLeadership(now, target)
}

// Hello messages find the storage ids of the instances that create a log, and
// tell the leader about instances that could be added.
const (
	helloInterval     = 200 * time.Millisecond
	helloIntervalLate = 2 * time.Second
	// strangerLife is the time without a report after which an instance outside
	// the log is no longer listed: one that is gone must not be added.
	strangerLife = 3 * helloIntervalLate
)

// sayHello runs while this replica is not a member, and while it hears of no
// leader: it may have been removed while it was down, which its own data does
// not say. The first instance of
// Options.Voters creates the log once all of them have reported that they hold
// none. An instance that lost its data therefore never creates a second log
// while any other holds the first.
func (r *Replica) sayHello(now time.Time) {
	members := r.node.Status().Members
	if slices.Contains(members.Voters, r.id) || slices.Contains(members.Learners, r.id) {
		if r.node.Leader() != (consensus.NodeID{}) {
			r.helloDue = time.Time{}
			return
		}
		if r.helloDue.IsZero() {
			// Elections take less time than this.
			r.helloDue = now.Add(helloIntervalLate)
		}
	}
	if now.Before(r.helloDue) {
		return
	}
	r.helloDue = now.Add(helloIntervalLate)
	if len(members.Voters) == 0 && r.o.Dir != nil && (slices.Contains(r.o.Voters, r.o.ID) || r.o.Contacts != nil) {
		r.helloDue = now.Add(helloInterval)
	}
	if r.mayCreate(members) {
		r.create(now)
		return
	}
	for _, contact := range r.contacts() {
		if contact != r.o.ID {
			r.sendHello(contact, true)
		}
	}
}

// contacts lists the instances that may know the log.
func (r *Replica) contacts() []string {
	if r.o.Contacts == nil {
		return r.o.Voters
	}
	all := slices.Concat(r.o.Voters, r.o.Contacts())
	slices.Sort(all)
	return slices.Compact(all)
}

func (r *Replica) sendHello(to string, ask bool) {
	// A damaged log also has no members in memory, but it is not a new one.
	fresh := len(r.node.Status().Members.Voters) == 0 && r.storageErr == nil && !r.cfg.Volatile
	r.sendEnvelope(to, &Envelope{Body: &Envelope_Hello{Hello: &Hello{Storage: r.id.Storage, Fresh: fresh, Ask: ask}}})
}

func (r *Replica) handleHello(now time.Time, from string, h *Hello) {
	members := r.node.Status().Members
	id := consensus.NodeID{Instance: from, Storage: h.Storage}
	if slices.Contains(members.Voters, id) || slices.Contains(members.Learners, id) {
		delete(r.strangers, from)
	} else {
		r.strangers[from] = stranger{h.Storage, now}
	}
	delete(r.fresh, from)
	if h.Fresh {
		r.fresh[from] = h.Storage
	}
	if h.Ask {
		r.sendHello(from, false)
	}
	if r.mayCreate(members) {
		r.create(now)
	}
}

func (r *Replica) mayCreate(members consensus.Members) bool {
	if r.cfg.Volatile || r.storageErr != nil || len(members.Voters) > 0 ||
		len(r.o.Voters) == 0 || r.o.Voters[0] != r.o.ID {
		return false
	}
	for _, voter := range r.o.Voters {
		if _, ok := r.fresh[voter]; !ok && voter != r.o.ID {
			return false
		}
	}
	return true
}

// create stores the initial members as the first snapshot and continues with
// a node that has them. The other voters receive the snapshot from the leader.
func (r *Replica) create(now time.Time) {
	meta := consensus.SnapshotMeta{Index: 1, Term: 1}
	for _, voter := range r.o.Voters {
		id := consensus.NodeID{Instance: voter, Storage: r.fresh[voter]}
		if voter == r.o.ID {
			id = r.id
		}
		meta.Members.Voters = append(meta.Members.Voters, id)
	}
	data, err := r.o.Machine.Snapshot()
	if err != nil {
		r.o.Logger.Error("initial state cannot be captured", zap.Error(err))
		return
	}
	if err := r.store.SaveSnapshot(consensus.Snapshot{Meta: meta, Data: data}); err != nil {
		r.storageFailed(err)
		return
	}
	node, err := consensus.New(r.cfg, consensus.Persisted{Hard: r.hard, Snapshot: meta}, now)
	if err != nil {
		r.o.Logger.Error("log cannot be created", zap.Error(err))
		return
	}
	r.node, r.helloDue = node, time.Time{}
	r.strangers = map[string]stranger{}
	r.applied.Store(meta.Index)
	r.o.Logger.Info("log created", zap.Strings("voters", r.o.Voters))
	r.node.Tick(now)
}
