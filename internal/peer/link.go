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

// maxQueuedMessages bounds the send queue of a channel to one peer. Further
// messages are dropped; the users of every channel resend what was lost.
const maxQueuedMessages = 256

// link manages the connection to one peer. It connects on the first send or
// call, and also uses sessions that the peer opened.
type link struct {
	network *Network
	id      string
	address string

	mu sync.Mutex
	// sessions holds the open sessions, the newest last. There can be several,
	// since both sides may connect at the same time. Each carries messages both
	// ways, so older ones are kept as a fallback: when the newest one breaks, it
	// may be impossible to open another.
	sessions  []*yamux.Session
	since     time.Time
	lastError error
	// dialing is closed when the current connection attempt ends, and nil
	// without one.
	dialing  chan struct{}
	failures int
	retryAt  time.Time
	queues   map[string]chan []byte
}

func (l *link) status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Status{ID: l.id, Connected: l.newestSessionLocked() != nil, Since: l.since}
	if l.lastError != nil {
		s.LastError = l.lastError.Error()
	}
	return s
}

// openSessions returns the open sessions.
func (l *link) openSessions() []*yamux.Session {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newestSessionLocked()
	return slices.Clone(l.sessions)
}

// newestSessionLocked returns the newest open session, or nil. The caller holds
// mu.
func (l *link) newestSessionLocked() *yamux.Session {
	l.sessions = slices.DeleteFunc(l.sessions, (*yamux.Session).IsClosed)
	if len(l.sessions) == 0 {
		return nil
	}
	return l.sessions[len(l.sessions)-1]
}

// addSession adds a session that the peer opened.
func (l *link) addSession(s *yamux.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addSessionLocked(s)
}

// addSessionLocked adds an open session and resets the backoff. The caller holds
// mu.
func (l *link) addSessionLocked(s *yamux.Session) {
	l.sessions = append(l.sessions, s)
	l.since, l.lastError = time.Now(), nil
	l.failures, l.retryAt = 0, time.Time{}
}

// session returns the newest open session and connects when there is none.
// During the backoff after a failed attempt it returns the error of that attempt.
func (l *link) session(ctx context.Context) (*yamux.Session, error) {
	for {
		l.mu.Lock()
		if s := l.newestSessionLocked(); s != nil {
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

// connect makes one connection attempt. When it fails, the next attempt is
// delayed by the backoff.
func (l *link) connect() {
	s, err := l.network.dial(l.network.ctx, l.id, l.address)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.addSessionLocked(s)
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

// enqueue adds a message to the channel's queue and reports false when the queue
// is full. The first message of a channel starts its sendLoop.
func (l *link) enqueue(channel string, payload []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queues[channel]
	if q == nil {
		q = make(chan []byte, maxQueuedMessages)
		l.queues[channel] = q
		l.network.spawn(func() { l.sendLoop(channel, q) })
	}
	select {
	case q <- payload:
		return true
	default:
		return false
	}
}

// sendLoop sends the messages of one channel until the network closes. A message
// is lost when no stream can be opened or the write fails.
func (l *link) sendLoop(channel string, q <-chan []byte) {
	var stream *yamux.Stream
	for {
		select {
		case <-l.network.ctx.Done():
			return
		case payload := <-q:
			if stream != nil && stream.Session().IsClosed() {
				_ = stream.Close()
				stream = nil
			}
			if stream == nil {
				stream = l.openStream(channel)
			}
			if stream == nil {
				l.network.dropped.Inc(1)
				continue
			}
			l.network.recordMessage(stream.Session())
			_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := writeMessage(stream, &Frame{Payload: payload}); err != nil {
				l.network.opts.Logger.Debug("peer stream failed", zap.String("peer", l.id), zap.String("channel", channel), zap.Error(err))
				_ = stream.Close()
				stream = nil
			}
		}
	}
}

// openStream opens a stream for the messages of a channel. It returns nil on
// failure.
func (l *link) openStream(channel string) *yamux.Stream {
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
