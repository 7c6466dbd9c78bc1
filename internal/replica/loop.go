package replica

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/consensus"
	"github.com/bluebellfield/bluebellfield/consensus/wire"
)

// run is the replica's goroutine. Everything that arrived while the last work
// was done is handled together and shares one sync.
func (r *Replica) run() {
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		inbox, requests, closed := r.take()
		// The clock is read after the messages are taken: a contact must not be
		// dated before the leader's message was sent, or the promise behind its
		// lease would end too early.
		now := time.Now()
		if closed {
			r.shutDown(requests)
			return
		}
		for _, m := range inbox {
			r.receive(now, m)
		}
		for _, f := range requests {
			f(now, false)
		}
		r.node.Tick(now)
		r.sayHello(now)
		r.work()
		r.dropIdleTransfers(now)
		r.publish()
		timer.Reset(time.Until(r.deadline()))
		select {
		case <-r.wake:
		case <-timer.C:
		}
	}
}

func (r *Replica) take() ([]inbound, []request, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	inbox, requests := r.inbox, r.requests
	r.inbox, r.inboxBytes, r.requests = nil, 0, nil
	return inbox, requests, r.closed
}

func (r *Replica) deadline() time.Time {
	next := r.node.NextDeadline()
	if !r.helloDue.IsZero() && r.helloDue.Before(next) {
		return r.helloDue
	}
	return next
}

func (r *Replica) shutDown(requests []request) {
	for _, f := range requests {
		f(time.Time{}, true)
	}
	r.forgetPending(math.MaxUint64)
	for id, b := range r.reads {
		delete(r.reads, id)
		b.finish(ErrClosed)
	}
	for _, b := range r.waiting {
		b.finish(ErrClosed)
	}
	r.snapshots.wait.Wait()
	if r.store != nil {
		r.closeFailures = r.store.Close()
	}
	r.changed.notify()
}

// work carries out the node's outputs until there are none.
func (r *Replica) work() {
	for {
		out := r.node.Ready()
		if out.Empty() {
			return
		}
		r.sendAll(out.Appends)
		if r.save(out) {
			r.sendAll(out.Messages)
		}
		if out.Snapshot != nil {
			r.restore(*out.Snapshot)
		}
		r.apply(out.Committed)
		r.completeReads(out.Reads)
		r.node.Advance(out)
		r.takeSnapshot()
	}
}

// save makes an output durable and reports whether its messages may be sent.
// The commit index alone needs no sync: it is stored with the next entries.
func (r *Replica) save(out consensus.Output) bool {
	r.hard = out.Hard
	if r.store == nil || r.storageErr != nil {
		return true
	}
	r.hardUnsaved = r.hardUnsaved || out.HardChanged
	if !out.MustSync && !(r.o.SyncCommit && r.hardUnsaved) {
		return true
	}
	out.HardChanged = r.hardUnsaved
	if err := r.store.Save(out); err != nil {
		r.storageFailed(err)
		return false
	}
	r.hardUnsaved = false
	return true
}

// storageFailed stops voting. The replica goes on following the log in memory,
// so that its state stays readable and current.
func (r *Replica) storageFailed(err error) {
	if r.storageErr != nil {
		return
	}
	r.storageErr = err
	r.o.Logger.Error("log storage failed; this instance stops voting", zap.Error(err))
	r.node.StopVoting(time.Now())
}

func (r *Replica) sendAll(messages []consensus.Message) {
	for _, m := range messages {
		r.sendEnvelope(m.To.Instance, &Envelope{Body: &Envelope_Message{Message: wire.Encode(m)}})
	}
}

func (r *Replica) sendEnvelope(to string, e *Envelope) {
	data, err := proto.Marshal(e)
	if err != nil {
		r.o.Logger.Error("message cannot be encoded", zap.String("peer", to), zap.Error(err))
		return
	}
	r.o.Transport.Send(to, r.o.Log, data)
}

func (r *Replica) receive(now time.Time, in inbound) {
	var e Envelope
	if err := proto.Unmarshal(in.data, &e); err != nil {
		r.o.Logger.Warn("message cannot be decoded", zap.String("peer", in.from), zap.Error(err))
		return
	}
	switch body := e.Body.(type) {
	case *Envelope_Message:
		r.step(now, wire.Decode(in.from, r.o.ID, body.Message))
	case *Envelope_Hello:
		r.handleHello(now, in.from, body.Hello)
	case *Envelope_Pull:
		r.handlePull(now, in.from, body.Pull)
	case *Envelope_Chunk:
		r.handleChunk(now, in.from, body.Chunk)
	}
}

func (r *Replica) step(now time.Time, m consensus.Message) {
	if m.Type == consensus.MsgSnapshot {
		if m.Snapshot == nil {
			return
		}
		m = r.offered(now, m)
	}
	err := r.node.Step(now, m)
	switch {
	case errors.Is(err, consensus.ErrMisaddressed):
		r.o.Logger.Debug("message is for a former storage id", zap.Stringer("peer", m.From))
	case err != nil:
		r.o.Logger.Error("message contradicts the log", zap.Stringer("peer", m.From), zap.Error(err))
	}
}

// apply hands committed entries to the state machine and answers those who
// proposed them here.
func (r *Replica) apply(entries []consensus.Entry) {
	if len(entries) == 0 || r.machineFailed {
		return
	}
	for _, e := range entries {
		var result []byte
		if e.Kind == consensus.EntryCommand {
			result = r.o.Machine.Apply(e.Index, e.Data)
		}
		r.snapshots.entries++
		r.snapshots.bytes += len(e.Data)
		r.answer(e, result)
		if e.Kind == consensus.EntryNoOp {
			r.endTerm(e.Term)
		}
	}
	r.advanceApplied(entries[len(entries)-1].Index)
}

// answer completes the proposals for an index. Those of other terms can never
// be committed now; before this, a later leader might still have held them.
func (r *Replica) answer(e consensus.Entry, result []byte) {
	for _, p := range r.pending[e.Index] {
		if p.term == e.Term {
			p.finish(result, nil)
			continue
		}
		p.finish(nil, notProposed(errDeposed))
	}
	delete(r.pending, e.Index)
}

// endTerm answers the proposals of terms before one that has a committed
// entry. Terms never decrease along the log, so that their entries, which lie
// behind, can never be committed. Without this a deposed leader's caller would
// wait until the next command of the new leader.
func (r *Replica) endTerm(term uint64) {
	for index, proposals := range r.pending {
		r.pending[index] = slices.DeleteFunc(proposals, func(p *proposal) bool {
			if p.term >= term {
				return false
			}
			p.finish(nil, notProposed(errDeposed))
			return true
		})
		if len(r.pending[index]) == 0 {
			delete(r.pending, index)
		}
	}
}

// forgetPending ends the proposals up to an index whose entries will not be
// seen here.
func (r *Replica) forgetPending(through uint64) {
	for index, proposals := range r.pending {
		if index > through {
			continue
		}
		for _, p := range proposals {
			p.finish(nil, ErrUnknownResult)
		}
		delete(r.pending, index)
	}
}

func (r *Replica) advanceApplied(index uint64) {
	r.applied.Store(index)
	r.waiting = slices.DeleteFunc(r.waiting, func(b *barrier) bool {
		if b.index > index {
			return false
		}
		b.finish(nil)
		return true
	})
	if r.o.OnApplied != nil {
		r.o.OnApplied(index)
	}
}

func (r *Replica) restore(s consensus.Snapshot) {
	if err := r.o.Machine.Restore(s.Data); err != nil {
		// The state is behind the log now, so that nothing can be applied to it.
		r.machineFailed = true
		r.storageFailed(fmt.Errorf("restore snapshot %d: %w", s.Meta.Index, err))
		return
	}
	r.snapshots.entries, r.snapshots.bytes, r.snapshots.size = 0, 0, len(s.Data)
	r.forgetPending(s.Meta.Index)
	r.endTerm(s.Meta.Term)
	r.fetch = nil
	r.advanceApplied(s.Meta.Index)
}

// publish makes the current status visible and wakes those who wait for a
// change.
func (r *Replica) publish() {
	s := &Status{Status: r.node.Status(), StorageError: r.storageErr}
	for instance, other := range r.strangers {
		if time.Since(other.heard) > strangerLife {
			delete(r.strangers, instance)
			continue
		}
		id := consensus.NodeID{Instance: instance, Storage: other.storage}
		if !slices.Contains(s.Members.Voters, id) && !slices.Contains(s.Members.Learners, id) {
			s.Strangers = append(s.Strangers, id)
		}
	}
	slices.SortFunc(s.Strangers, func(a, b consensus.NodeID) int { return strings.Compare(a.Instance, b.Instance) })
	old := r.status.Swap(s)
	if old == nil {
		return
	}
	if old.Leader != s.Leader || old.Role != s.Role {
		r.o.Logger.Info("leadership changed", zap.Stringer("role", s.Role), zap.Stringer("leader", s.Leader), zap.Uint64("term", s.Term))
	}
	if old.Applied != s.Applied || old.Leader != s.Leader || old.Role != s.Role {
		r.changed.notify()
	}
}
