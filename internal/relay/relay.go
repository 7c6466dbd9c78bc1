// Package relay opens connections to upstreams. An upstream that this instance cannot
// reach while another instance can is connected to through that one, over a stream of
// the connection that the instances share. Such a connection carries bytes only: the
// instance that serves the caller keeps the request, its deadline and its retries.
package relay

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/background"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/peer"
	"github.com/bluebellfield/bluebellfield/reach"
)

// Channel carries the connections between instances.
const Channel = "upstream.relay"

// StepRelay is the step in errors of connections through other instances.
const StepRelay = "relay"

const (
	// directHeadStart is the time without a direct connection after which other
	// instances are asked. Connections within a region open within a few
	// milliseconds.
	directHeadStart = 40 * time.Millisecond
	// directTimeout limits a direct attempt, if its dialer has no shorter limit.
	directTimeout = time.Second
	// helperHeadStart is the time without an answer of an instance after which the
	// next one is asked as well.
	helperHeadStart = 30 * time.Millisecond
	// openTimeout limits the time in which another instance opens a connection.
	openTimeout = 300 * time.Millisecond
	// connectTimeout limits an attempt for another instance. The answer must arrive
	// within openTimeout.
	connectTimeout = 200 * time.Millisecond
	// maxAsked is the number of instances that are asked for one connection. Most
	// instances of a failure domain may be cut off together.
	maxAsked = 12
	// maxRefusals is the number of instances that find no process at the address
	// after which no others are asked, and maxFailures that of instances that try in
	// vain. An upstream that is overloaded must not get an attempt of each instance.
	maxRefusals = 3
	maxFailures = 6
	// checkInterval is the least time between two checks of silent upstreams.
	checkInterval = 250 * time.Millisecond
)

// Network is the part of the peer network that a Relay uses.
type Network interface {
	OpenStream(ctx context.Context, to, channel string) (net.Conn, error)
	HandleStreams(channel string, h peer.StreamHandler)
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Options configures a Relay.
type Options struct {
	FailureDomain string
	Network       Network
	// Direct opens a connection without other instances.
	Direct DialFunc
	// Helpers lists the other instances that are reachable.
	Helpers func() []reach.Helper
	// Known reports whether an address is that of an upstream. No other address is
	// connected to for another instance.
	Known func(address string) bool
	// OnChange is called when an upstream is no longer reached directly, or is again.
	// Connections that were opened before should not be used for further requests.
	OnChange func(address string)
	// MaxHelped is the number of connections that are open for other instances at a
	// time.
	MaxHelped int
	Logger    *zap.Logger
	Registry  metrics.Registry
}

// Relay opens connections for this instance, and for others that ask for them.
type Relay struct {
	opts  Options
	reach *reach.Tracker
	ctx   context.Context
	end   context.CancelFunc
	tasks background.Group

	// checkedAt is the time of the latest check, in Unix nanoseconds.
	checkedAt atomic.Int64

	mu       sync.Mutex
	draining bool
	helped   map[*helpedConn]struct{}
	// idle is closed when draining and without a connection for others.
	idle chan struct{}

	passed, failed, refused, opened metrics.Counter
}

// New returns a relay that serves other instances.
func New(o Options) *Relay {
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	r := &Relay{opts: o, reach: reach.New(), helped: map[*helpedConn]struct{}{}, idle: make(chan struct{}),
		passed: metrics.GetOrRegisterCounter("relay.passed", o.Registry), failed: metrics.GetOrRegisterCounter("relay.failed", o.Registry),
		refused: metrics.GetOrRegisterCounter("relay.refused", o.Registry), opened: metrics.GetOrRegisterCounter("relay.helped", o.Registry)}
	r.ctx, r.end = context.WithCancel(context.Background())
	_ = o.Registry.Register("relay.cut_upstreams", metrics.NewFunctionalGauge(func() int64 { return int64(r.reach.CutUpstreams()) }))
	_ = o.Registry.Register("relay.helping", metrics.NewFunctionalGauge(func() int64 { return int64(r.helping()) }))
	o.Network.HandleStreams(Channel, r.serve)
	r.tasks.Go(r.probeUpstreams)
	return r
}

// Close ends all attempts and waits for them.
func (r *Relay) Close() {
	r.end()
	r.tasks.Wait()
}

// dialed is the result of an attempt to connect.
type dialed struct {
	conn net.Conn
	err  error
	// helper is the instance through which the connection goes, empty for a direct one.
	helper string
}

// Dial opens a connection to an upstream, directly if that is possible. If it is not,
// the error is that of the direct attempt.
func (r *Relay) Dial(ctx context.Context, address string) (net.Conn, error) {
	if r.reach.Cut(time.Now(), address) {
		d := r.dialThroughOthers(ctx, address)
		if d.err != nil && ctx.Err() == nil {
			d = r.dialDirectly(ctx, address)
		}
		return d.conn, d.err
	}
	return r.dial(ctx, address)
}

// dial connects directly, and through another instance if that fails or takes long.
func (r *Relay) dial(ctx context.Context, address string) (net.Conn, error) {
	direct := make(chan dialed, 1)
	if !r.tasks.Go(func() { direct <- r.dialDirectly(ctx, address) }) {
		return nil, net.ErrClosed
	}
	headStart := time.NewTimer(directHeadStart)
	defer headStart.Stop()
	select {
	case d := <-direct:
		if d.err == nil || ctx.Err() != nil || !r.reach.MayAsk(time.Now(), address) {
			return d.conn, d.err
		}
		if through := r.dialThroughOthers(ctx, address); through.err == nil {
			return through.conn, nil
		}
		return nil, d.err
	case <-headStart.C:
	}
	select {
	case d := <-direct:
		// The process itself may have stood still.
		if d.err == nil {
			return d.conn, nil
		}
		direct <- d
	default:
	}
	return r.race(ctx, address, direct)
}

// race waits for the direct connection and one through another instance, and returns
// the first one.
func (r *Relay) race(ctx context.Context, address string, direct <-chan dialed) (net.Conn, error) {
	through := make(chan dialed, 1)
	if !r.reach.MayAsk(time.Now(), address) || !r.tasks.Go(func() { through <- r.dialThroughOthers(ctx, address) }) {
		d := <-direct
		return d.conn, d.err
	}
	select {
	case d := <-direct:
		if d.err == nil {
			r.discard(through)
			return d.conn, nil
		}
		if other := <-through; other.err == nil {
			return other.conn, nil
		}
		return nil, d.err
	case other := <-through:
		if other.err == nil {
			r.discard(direct)
			return other.conn, nil
		}
		d := <-direct
		return d.conn, d.err
	}
}

// discard closes a connection that comes too late.
func (r *Relay) discard(late <-chan dialed) {
	r.tasks.Go(func() {
		if d := <-late; d.conn != nil {
			_ = d.conn.Close()
		}
	})
}

// dialDirectly connects without another instance and records a success.
func (r *Relay) dialDirectly(ctx context.Context, address string) dialed {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	conn, err := r.opts.Direct(ctx, address)
	if err == nil && r.reach.Connected(time.Now(), address) {
		r.opts.Logger.Info("upstream in reach again", zap.String("address", address))
		r.changed(address)
	}
	return dialed{conn: conn, err: err}
}

func (r *Relay) changed(address string) {
	if r.opts.OnChange != nil {
		r.opts.OnChange(address)
	}
}

// probeUpstreams checks again and again whether the upstreams to which connections go
// through other instances can be reached directly. These may be kept for long, so that
// no request would show it.
func (r *Relay) probeUpstreams() {
	ticker := time.NewTicker(reach.ProbeInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case now := <-ticker.C:
			for _, address := range r.reach.Through() {
				switch {
				case !r.opts.Known(address):
					r.reach.Forget(address)
				case r.reach.ClaimProbe(now, address):
					r.tasks.Go(func() { r.probe(address) })
				}
			}
		}
	}
}

// probe checks whether a cut upstream can be reached directly.
func (r *Relay) probe(address string) {
	ctx, cancel := context.WithTimeout(r.ctx, openTimeout)
	defer cancel()
	if d := r.dialDirectly(ctx, address); d.err == nil {
		_ = d.conn.Close()
	}
}

// Check finds out whether an upstream that is silent can still be reached directly.
// It returns at once.
func (r *Relay) Check(address string) {
	now := time.Now()
	if last := r.checkedAt.Load(); now.UnixNano()-last < int64(checkInterval) || !r.checkedAt.CompareAndSwap(last, now.UnixNano()) || !r.reach.ClaimProbe(now, address) {
		return
	}
	r.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, openTimeout)
		defer cancel()
		if conn, err := r.dial(ctx, address); err == nil {
			_ = conn.Close()
		}
	})
}

// errNoHelper is returned if no other instance could be asked.
var errNoHelper = errors.New("no other instance reaches the upstream")

// dialThroughOthers asks the other instances one after the other. The next one is asked
// when one fails or takes long.
func (r *Relay) dialThroughOthers(ctx context.Context, address string) dialed {
	began := time.Now()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	ids := r.reach.Order(began, random, r.opts.FailureDomain, r.opts.Helpers())
	ids = ids[:min(len(ids), maxAsked)]
	ctx, cancel := context.WithCancel(ctx)
	q := &inquiry{relay: r, ctx: ctx, address: address, ids: ids, answers: make(chan dialed, len(ids))}
	defer q.closeLate()
	defer cancel()
	q.askNext()
	for q.waiting > 0 {
		next := time.NewTimer(helperHeadStart)
		select {
		case d := <-q.answers:
			next.Stop()
			q.waiting--
			switch {
			case d.err == nil:
				r.connectedThrough(began, address, d, q.unable)
				return d
			case ctx.Err() != nil:
				return dialed{err: ctx.Err()}
			}
			q.recordFailure(d)
			q.askNext()
		case <-next.C:
			q.askNext()
		}
	}
	r.failed.Inc(1)
	if q.failures > 0 {
		r.reach.Gone(time.Now(), address)
	}
	return dialed{err: fault.Wrap(errNoHelper, fault.UpstreamUnreachable, fault.Location{Step: StepRelay, Peer: address}, fault.NotRun)}
}

// inquiry asks other instances for a connection to one upstream.
type inquiry struct {
	relay   *Relay
	ctx     context.Context
	address string
	// ids are the instances to ask; asked is the number of those that were, and waiting
	// that of those that have not answered.
	ids            []string
	asked, waiting int
	answers        chan dialed
	// unable are those that could not connect. failures counts those of them that tried,
	// and refusals those that found no process at the address.
	unable             []string
	failures, refusals int
}

// askNext asks one more instance, if there is one that might reach the upstream.
func (q *inquiry) askNext() {
	if q.asked == len(q.ids) || q.refusals >= maxRefusals || q.waiting+q.failures >= maxFailures {
		return
	}
	id := q.ids[q.asked]
	if q.relay.tasks.Go(func() { q.answers <- q.relay.open(q.ctx, id, q.address) }) {
		q.asked++
		q.waiting++
	}
}

func (q *inquiry) recordFailure(d dialed) {
	q.unable = append(q.unable, d.helper)
	switch fault.CodeOf(d.err) {
	case fault.Unavailable:
	case fault.NoUpstream:
		q.refusals++
		q.failures++
	default:
		q.failures++
	}
}

// closeLate closes the connections that are opened after the inquiry has ended.
func (q *inquiry) closeLate() {
	late := q.waiting
	if late == 0 {
		return
	}
	q.relay.tasks.Go(func() {
		for range late {
			if d := <-q.answers; d.conn != nil {
				_ = d.conn.Close()
			}
		}
	})
}

// connectedThrough records a connection through another instance. Those that failed
// for the same upstream are as cut off as this one.
func (r *Relay) connectedThrough(began time.Time, address string, d dialed, unable []string) {
	now := time.Now()
	r.passed.Inc(1)
	for _, other := range unable {
		r.reach.Blame(now, other)
	}
	if r.reach.ConnectedThrough(now, began, address, d.helper) {
		r.opts.Logger.Info("upstream reached only through another instance", zap.String("address", address), zap.String("peer", d.helper))
		r.changed(address)
	}
}

// open asks another instance for a connection.
func (r *Relay) open(ctx context.Context, id, address string) dialed {
	at := fault.Location{Step: StepRelay, Peer: id}
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	stream, err := r.opts.Network.OpenStream(openCtx, id, Channel)
	if err != nil {
		return dialed{err: fault.Wrap(err, fault.Unavailable, at, fault.NotRun), helper: id}
	}
	stop := context.AfterFunc(openCtx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	conn, err := openThrough(stream, id, address)
	if !stop() && err == nil {
		err = openCtx.Err()
	}
	if err == nil {
		return dialed{conn: conn, helper: id}
	}
	_ = stream.Close()
	if fault.CodeOf(err) == fault.Unavailable && ctx.Err() == nil {
		r.reach.Blame(time.Now(), id)
	}
	return dialed{err: err, helper: id}
}

// Drain makes the instances that use connections of this one open others, and refuses
// new ones. Requests in progress are not interrupted.
func (r *Relay) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return
	}
	r.draining = true
	for c := range r.helped {
		r.tasks.Go(func() { _ = c.leave() })
	}
	if len(r.helped) == 0 {
		close(r.idle)
	}
}

// Wait waits after Drain until no other instance uses a connection, or ctx ends.
func (r *Relay) Wait(ctx context.Context) error {
	select {
	case <-r.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// helping returns the number of connections that are open for other instances.
func (r *Relay) helping() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.helped)
}

func (r *Relay) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

// addHelped registers a connection, or returns the reason for which it is refused.
func (r *Relay) addHelped(c *helpedConn) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.draining:
		return errors.New("the instance is stopping")
	case len(r.helped) >= r.opts.MaxHelped:
		return errors.New("too many connections are open for other instances")
	}
	r.helped[c] = struct{}{}
	return nil
}

func (r *Relay) removeHelped(c *helpedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.helped, c)
	if r.draining && len(r.helped) == 0 {
		close(r.idle)
	}
}

// serve opens a connection for another instance and carries its bytes until one side
// ends it.
func (r *Relay) serve(ctx context.Context, from string, stream net.Conn) {
	defer stream.Close()
	c := &helpedConn{stream: stream, in: bufio.NewReader(stream)}
	var request ToUpstream
	if readMessage(c.in, &request) != nil {
		return
	}
	if err := r.connectFor(ctx, c, request.Address); err != nil {
		r.refused.Inc(1)
		r.opts.Logger.Debug("connection for another instance refused", zap.String("peer", from), zap.String("address", request.Address), zap.Error(err))
		_ = c.fail(err)
		return
	}
	defer r.removeHelped(c)
	stop := context.AfterFunc(ctx, func() {
		_ = stream.Close()
		_ = c.upstream.Close()
	})
	defer stop()
	r.opened.Inc(1)
	if err := c.send(&FromUpstream{}, false); err != nil {
		_ = c.upstream.Close()
		return
	}
	if r.isDraining() {
		_ = c.leave()
	}
	c.carry()
}

// connectFor connects to an upstream for another instance.
func (r *Relay) connectFor(ctx context.Context, c *helpedConn, address string) error {
	now := time.Now()
	at := fault.Location{Step: StepRelay, Peer: address}
	switch {
	case !r.opts.Known(address):
		return fault.New(fault.Unavailable, at, fault.NotRun, "not the address of an upstream")
	case r.reach.Isolated(now) || r.reach.Cut(now, address):
		return fault.New(fault.Unavailable, at, fault.NotRun, "this instance does not reach the upstream either")
	}
	if err := r.addHelped(c); err != nil {
		return fault.Wrap(err, fault.Unavailable, at, fault.NotRun)
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	d := r.dialDirectly(ctx, address)
	if d.err != nil {
		r.removeHelped(c)
		if errors.Is(d.err, syscall.ECONNREFUSED) && !r.reach.Isolated(now) {
			return fault.Wrap(d.err, fault.NoUpstream, at, fault.NotRun)
		}
		return fault.Wrap(d.err, fault.UpstreamUnreachable, at, fault.NotRun)
	}
	c.upstream = d.conn
	return nil
}
