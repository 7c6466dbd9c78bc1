// Package wire converts the messages of package consensus to and from protobuf.
// It is a separate package so that consensus depends only on the standard
// library.
package wire

import (
	"github.com/bluebellfield/bluebellfield/consensus"
)

// Encode converts a message to its wire form. The data of a snapshot is omitted
// and transferred separately in chunks.
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

// Decode converts a message sent by instance from to instance to. The wire form
// omits the instance ids and the entry indexes.
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

// EncodeMeta converts the metadata of a snapshot to its wire form.
func EncodeMeta(m consensus.SnapshotMeta) *SnapshotMeta {
	return &SnapshotMeta{Index: m.Index, Term: m.Term,
		Voters: encodeNodes(m.Members.Voters), Learners: encodeNodes(m.Members.Learners)}
}

// DecodeMeta converts the metadata of a snapshot from its wire form.
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
