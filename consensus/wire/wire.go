// Package wire encodes the messages of package consensus as protobuf. It is
// separate so that package consensus depends on the standard library only.
package wire

import (
	"github.com/bluebellfield/bluebellfield/consensus"
)

// Encode converts a message. The data of a snapshot is left out: it is
// transferred in pieces of its own.
func Encode(m consensus.Message) *Message {
	out := &Message{Type: uint32(m.Type), FromStorage: m.From.Storage, ToStorage: m.To.Storage,
		Term: m.Term, Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit, Round: m.Round,
		Reject: m.Reject, Rejected: m.Rejected, Force: m.Force, Volatile: m.Volatile, Read: m.Read}
	if len(m.Entries) > 0 {
		out.Entries = make([]*Entry, len(m.Entries))
	}
	for i, e := range m.Entries {
		out.Entries[i] = &Entry{Term: e.Term, Kind: uint32(e.Kind), Data: e.Data}
	}
	if m.Snapshot != nil {
		out.Snapshot = EncodeMeta(m.Snapshot.Meta)
	}
	return out
}

// Decode converts a message that instance from sent to instance to.
func Decode(from, to string, m *Message) consensus.Message {
	out := consensus.Message{Type: consensus.MessageType(m.Type),
		From: consensus.NodeID{Instance: from, Storage: m.FromStorage},
		To:   consensus.NodeID{Instance: to, Storage: m.ToStorage},
		Term: m.Term, Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit, Round: m.Round,
		Reject: m.Reject, Rejected: m.Rejected, Force: m.Force, Volatile: m.Volatile, Read: m.Read}
	if len(m.Entries) > 0 {
		out.Entries = make([]consensus.Entry, len(m.Entries))
	}
	for i, e := range m.Entries {
		out.Entries[i] = consensus.Entry{Index: m.Index + uint64(i) + 1, Term: e.Term,
			Kind: consensus.EntryKind(e.Kind), Data: e.Data}
	}
	if m.Snapshot != nil {
		out.Snapshot = &consensus.Snapshot{Meta: DecodeMeta(m.Snapshot)}
	}
	return out
}

// EncodeMeta converts the description of a snapshot.
func EncodeMeta(m consensus.SnapshotMeta) *SnapshotMeta {
	return &SnapshotMeta{Index: m.Index, Term: m.Term,
		Voters: encodeNodes(m.Members.Voters), Learners: encodeNodes(m.Members.Learners)}
}

// DecodeMeta converts the description of a snapshot.
func DecodeMeta(m *SnapshotMeta) consensus.SnapshotMeta {
	return consensus.SnapshotMeta{Index: m.GetIndex(), Term: m.GetTerm(),
		Members: consensus.Members{Voters: decodeNodes(m.GetVoters()), Learners: decodeNodes(m.GetLearners())}}
}

func encodeNodes(ids []consensus.NodeID) []*Node {
	out := make([]*Node, len(ids))
	for i, id := range ids {
		out[i] = &Node{Instance: id.Instance, Storage: id.Storage}
	}
	return out
}

func decodeNodes(nodes []*Node) []consensus.NodeID {
	var out []consensus.NodeID
	for _, node := range nodes {
		out = append(out, consensus.NodeID{Instance: node.GetInstance(), Storage: node.GetStorage()})
	}
	return out
}
