// Package quarantinepb encodes the messages of package quarantine as protobuf.
package quarantinepb

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/quarantine"
)

const digestLength = len(quarantine.Digest{})

// Encode returns the protobuf form of a message.
func Encode(m quarantine.Message) ([]byte, error) {
	out := &Message{From: m.From}
	for _, e := range m.Evidence {
		out.Evidence = append(out.Evidence, &Evidence{
			Upstream: e.Target.Upstream, Incarnation: e.Target.Incarnation,
			Digests: join(e.Digests), Truncated: e.Truncated, Cleared: join(e.Cleared),
			Elsewhere: e.Elsewhere, Sum: e.Sum,
		})
	}
	for _, v := range m.Verdicts {
		out.Verdicts = append(out.Verdicts, &Verdict{Digest: v.Digest[:], UntilUnixMillis: v.Until.UnixMilli()})
	}
	return proto.Marshal(out)
}

// Decode reads a message from its protobuf form.
func Decode(data []byte) (quarantine.Message, error) {
	in := &Message{}
	if err := proto.Unmarshal(data, in); err != nil {
		return quarantine.Message{}, fmt.Errorf("quarantine message: %w", err)
	}
	m := quarantine.Message{From: in.From}
	for _, e := range in.Evidence {
		digests, err := split(e.Digests)
		if err != nil {
			return quarantine.Message{}, err
		}
		cleared, err := split(e.Cleared)
		if err != nil {
			return quarantine.Message{}, err
		}
		m.Evidence = append(m.Evidence, quarantine.Evidence{
			Target:  quarantine.Target{Upstream: e.Upstream, Incarnation: e.Incarnation},
			Digests: digests, Truncated: e.Truncated, Cleared: cleared, Elsewhere: e.Elsewhere, Sum: e.Sum,
		})
	}
	for _, v := range in.Verdicts {
		if len(v.Digest) != digestLength {
			return quarantine.Message{}, fmt.Errorf("quarantine message: a digest has %d bytes instead of %d", len(v.Digest), digestLength)
		}
		m.Verdicts = append(m.Verdicts, quarantine.Verdict{
			Digest: quarantine.Digest(v.Digest), Until: time.UnixMilli(v.UntilUnixMillis),
		})
	}
	return m, nil
}

func join(digests []quarantine.Digest) []byte {
	out := make([]byte, 0, len(digests)*digestLength)
	for i := range digests {
		out = append(out, digests[i][:]...)
	}
	return out
}

func split(data []byte) ([]quarantine.Digest, error) {
	if len(data)%digestLength != 0 {
		return nil, fmt.Errorf("quarantine message: digests of %d bytes, not a multiple of %d", len(data), digestLength)
	}
	var out []quarantine.Digest
	for ; len(data) > 0; data = data[digestLength:] {
		out = append(out, quarantine.Digest(data[:digestLength]))
	}
	return out, nil
}
