// Package upstreamlimitpb encodes the messages of package upstreamlimit with
// protobuf.
package upstreamlimitpb

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/admission/share/sharepb"
	"github.com/bluebellfield/bluebellfield/upstreamlimit"
)

// Encode returns the protobuf encoding of a message.
func Encode(m upstreamlimit.Message) ([]byte, error) {
	out := &Message{}
	for _, n := range m.Named {
		out.Named = append(out.Named, &Named{Upstream: n.Target.Upstream, Incarnation: n.Target.Incarnation, Rate: n.Rate, Version: n.Version})
	}
	if m.Share != nil {
		encoded, err := sharepb.Encode(*m.Share)
		if err != nil {
			return nil, err
		}
		out.Share = encoded
	}
	return proto.Marshal(out)
}

// Decode parses a message encoded by Encode.
func Decode(data []byte) (upstreamlimit.Message, error) {
	var in Message
	if err := proto.Unmarshal(data, &in); err != nil {
		return upstreamlimit.Message{}, fmt.Errorf("decode upstream limit message: %w", err)
	}
	var m upstreamlimit.Message
	for _, n := range in.Named {
		m.Named = append(m.Named, upstreamlimit.Named{Target: upstreamlimit.Target{Upstream: n.Upstream, Incarnation: n.Incarnation}, Rate: n.Rate, Version: n.Version})
	}
	if len(in.Share) > 0 {
		s, err := sharepb.Decode(in.Share)
		if err != nil {
			return upstreamlimit.Message{}, err
		}
		m.Share = &s
	}
	return m, nil
}
