package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
)

// queueLength bounds the messages of one channel that wait for one peer. A
// sender beyond it drops: every channel can repeat what was lost.
const queueLength = 256

// link is the connection to one peer. It connects when there is something to
// send, and either side may connect.
type link struct {
	network *Network
	id      string
	address string

	mu sync.Mutex
	// sessions are the open ones, the newest last. Both sides may connect at
	// the same time; each session carries messages both ways, so the older one
	// is kept in case the newer one breaks and no other can be opened.
	sessions  []*yamux.Session
	since     time.Time
	lastError error
	// dialing is closed when the running attempt to connect has ended.
	dialing  chan struct{}
	failures int
	retryAt  time.Time
	queues   map[string]chan []byte
}

func (l *link) status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Status{ID: l.id, Connected: l.newest() != nil, Since: l.since}
	if l.lastError != nil {
		s.LastError = l.lastError.Error()
	}
	return s
}

// newest returns the newest open session, nil without one. The caller holds mu.
func (l *link) newest() *yamux.Session {
	l.sessions = slices.DeleteFunc(l.sessions, (*yamux.Session).IsClosed)
	if len(l.sessions) == 0 {
		return nil
	}
	return l.sessions[len(l.sessions)-1]
}

// adopt takes a session that the peer opened.
func (l *link) adopt(s *yamux.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.use(s)
}

// use adds an open session. The caller holds mu.
func (l *link) use(s *yamux.Session) {
	l.sessions = append(l.sessions, s)
	l.since, l.lastError = time.Now(), nil
	l.failures, l.retryAt = 0, time.Time{}
}

// session returns an open session, connecting when there is none.
func (l *link) session(ctx context.Context) (*yamux.Session, error) {
	for {
		l.mu.Lock()
		if s := l.newest(); s != nil {
			l.mu.Unlock()
			return s, nil
		}
		if l.dialing == nil && time.Now().Before(l.retryAt) {
			err := l.lastError
			l.mu.Unlock()
			return nil, err
		}
		if l.dialing == nil {
			l.dialing = make(chan struct{})
			go l.connect()
		}
		dialing := l.dialing
		l.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// connect makes one attempt and sets the time before which no other is made.
func (l *link) connect() {
	s, err := l.network.dial(l.network.ctx, l.id, l.address)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.use(s)
	} else {
		l.failures++
		l.lastError = err
		l.retryAt = time.Now().Add(backoff(l.failures))
	}
	close(l.dialing)
	l.dialing = nil
}

func backoff(failures int) time.Duration {
	limit := min(maxBackoff, minBackoff<<min(failures, 10))
	return limit/2 + rand.N(limit/2)
}

// queue adds a message and starts the channel's sender when it is new.
func (l *link) queue(channel string, payload []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queues[channel]
	if q == nil {
		q = make(chan []byte, queueLength)
		l.queues[channel] = q
		l.network.spawn(func() { l.drain(channel, q) })
	}
	select {
	case q <- payload:
		return true
	default:
		return false
	}
}

// drain sends the messages of one channel until the network closes. A message
// that meets a broken session is lost.
func (l *link) drain(channel string, q <-chan []byte) {
	var stream *yamux.Stream
	for {
		select {
		case <-l.network.ctx.Done():
			return
		case payload := <-q:
			if stream == nil {
				stream = l.open(channel)
			}
			if stream == nil {
				l.network.dropped.Inc(1)
				continue
			}
			_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := writeMessage(stream, &Frame{Payload: payload}); err != nil {
				l.network.opts.Logger.Debug("peer stream broke", zap.String("peer", l.id), zap.String("channel", channel), zap.Error(err))
				_ = stream.Close()
				stream = nil
			}
		}
	}
}

func (l *link) open(channel string) *yamux.Stream {
	session, err := l.session(l.network.ctx)
	if err != nil {
		return nil
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil
	}
	_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	if writeMessage(stream, &StreamHeader{Channel: channel}) != nil {
		_ = stream.Close()
		return nil
	}
	return stream
}
