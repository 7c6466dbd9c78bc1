package peer

import (
	"bufio"
	"context"
	"io"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/internal/fault"
)

func writeMessage(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return err
}

// readMessage reads one message. It reads the length prefix byte by byte, so
// that no bytes after the message are consumed.
func readMessage(r io.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}.UnmarshalFrom(byteReader{r}, m)
}

// byteReader adds ReadByte to a reader without buffering.
type byteReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (b byteReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(b.Reader, one[:])
	return one[0], err
}

// serve handles the streams that a peer opens until the session ends.
func (n *Network) serve(session *yamux.Session, from string) {
	defer n.untrack(session)
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			_ = session.Close()
			return
		}
		n.spawn(func() { n.serveStream(ctx, stream, from) })
	}
}

func (n *Network) serveStream(ctx context.Context, stream *yamux.Stream, from string) {
	defer stream.Close()
	in := bufio.NewReader(stream)
	var header StreamHeader
	unmarshal := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	if unmarshal.UnmarshalFrom(in, &header) != nil {
		return
	}
	if h := n.streamHandler(header.Channel); h != nil {
		h(ctx, from, &countedStream{Stream: stream, in: in, network: n})
		return
	}
	for {
		var frame Frame
		if unmarshal.UnmarshalFrom(in, &frame) != nil {
			return
		}
		n.recordMessage(stream.Session())
		h := n.handler(header.Channel)
		if header.Call {
			_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
			_ = writeMessage(stream, n.reply(ctx, h, from, frame.Payload))
			return
		}
		if h != nil {
			_, _ = h(ctx, from, frame.Payload)
		}
	}
}

func (n *Network) reply(ctx context.Context, h Handler, from string, payload []byte) *Reply {
	if h == nil {
		return &Reply{Error: "the peer does not serve this channel", Code: string(fault.NotFound), Outcome: string(fault.NotRun), Step: StepCall}
	}
	out, err := h(ctx, from, payload)
	if err != nil {
		return &Reply{Error: err.Error(), Code: string(fault.CodeOf(err)), Outcome: string(fault.OutcomeOf(err)), Step: fault.LocationOf(err).Step}
	}
	return &Reply{Payload: out}
}

// call sends one message on a new stream and reads the reply. The end of ctx
// aborts pending reads and writes.
func (n *Network) call(ctx context.Context, session *yamux.Session, channel string, payload []byte) (*Reply, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return nil, err
	}
	n.recordMessage(session)
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	defer stream.Close()
	if err := writeMessage(stream, &StreamHeader{Channel: channel, Call: true}); err != nil {
		return nil, err
	}
	if err := writeMessage(stream, &Frame{Payload: payload}); err != nil {
		return nil, err
	}
	var reply Reply
	if err := readMessage(stream, &reply); err != nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, err
	}
	return &reply, nil
}
