package wire

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bluebellfield/bluebellfield/consensus"
)

// Guards against message fields that are lost or changed by encoding.
func TestMessagesSurviveEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number, flag := rapid.Uint64(), rapid.Bool()
		m := consensus.Message{Type: consensus.MessageType(rapid.IntRange(1, 10).Draw(t, "type")),
			From: consensus.NodeID{Instance: "a", Storage: number.Draw(t, "from")},
			To:   consensus.NodeID{Instance: "b", Storage: number.Draw(t, "to")},
			Term: number.Draw(t, "term"), Index: rapid.Uint64Range(0, 1<<60).Draw(t, "index"), LogTerm: number.Draw(t, "logTerm"),
			Commit: number.Draw(t, "commit"), Round: number.Draw(t, "round"), Reject: flag.Draw(t, "reject"),
			Rejected: number.Draw(t, "rejected"), Force: flag.Draw(t, "force"), Volatile: flag.Draw(t, "volatile"),
			Read: number.Draw(t, "read")}
		for i := range rapid.IntRange(0, 3).Draw(t, "entries") {
			m.Entries = append(m.Entries, consensus.Entry{Index: m.Index + uint64(i) + 1, Term: number.Draw(t, "entryTerm"),
				Kind: consensus.EntryKind(rapid.IntRange(0, 2).Draw(t, "kind")), Data: rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(t, "data")})
		}
		if flag.Draw(t, "snapshot") {
			m.Snapshot = &consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 3, Term: 2, Members: consensus.Members{
				Voters: []consensus.NodeID{m.From, m.To}, Learners: []consensus.NodeID{{Instance: "c", Storage: 9}}}}}
		}
		data, err := proto.Marshal(Encode(m))
		require.NoError(t, err)
		var decoded Message
		require.NoError(t, proto.Unmarshal(data, &decoded))
		require.Equal(t, m, Decode("a", "b", &decoded))
	})
}
