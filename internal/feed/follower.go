package feed

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/group"
	"github.com/bluebellfield/bluebellfield/quarantine"
	"github.com/bluebellfield/bluebellfield/settings"
)

const (
	// requestTimeout exceeds longPollTimeout, so that a source without newer
	// state can still reply.
	requestTimeout = longPollTimeout + 2*time.Second
	// barrierTimeout is the request timeout while waiting for the barrier of a
	// source, after which the next source is tried.
	barrierTimeout = 3 * time.Second
	retryDelay     = 100 * time.Millisecond
)

// SendFunc sends a request to a source.
type SendFunc func(ctx context.Context, source string, payload []byte) ([]byte, error)

// Options configures a Client.
type Options struct {
	// Sources are the control instances to poll, in order of preference.
	Sources []string
	Send    SendFunc
	// GroupsOnly requests replica groups without settings.
	GroupsOnly bool
	// OnTree is called with each newer tree, and OnGroups with newer groups of a
	// failure domain.
	OnTree   func(*settings.Tree)
	OnGroups func(failureDomain string, state *group.State)
	// OnVerdicts, if set, is called with each newer set of stored verdicts, before
	// OnTree for settings of the same reply.
	OnVerdicts func(*quarantine.Stored)
	Logger     *zap.Logger
}

// Client polls one source at a time and fails over to the next one on errors.
type Client struct {
	opts Options
	tree atomic.Pointer[settings.Tree]
	// current is closed after the first successful reply.
	current     chan struct{}
	currentOnce sync.Once

	mu     sync.Mutex
	groups map[string]uint64
	// verdicts is the revision of the stored verdicts.
	verdicts uint64
	source   string
	lastErr  error
}

// NewClient returns a client with empty settings and no groups.
func NewClient(o Options) *Client {
	c := &Client{opts: o, current: make(chan struct{}), groups: map[string]uint64{}}
	c.tree.Store(settings.Empty())
	return c
}

// Tree returns the newest settings received.
func (c *Client) Tree() *settings.Tree { return c.tree.Load() }

// Current returns a channel that is closed once the settings are at least as new
// as any that were in use in the failure domain when the client started. With
// GroupsOnly, which requests no settings, it is closed after the first reply.
func (c *Client) Current() <-chan struct{} { return c.current }

// Source returns the control instance that last replied, and the error of the
// last request if it failed.
func (c *Client) Source() (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.source, c.lastErr
}

// Run polls until ctx is done.
func (c *Client) Run(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil && len(c.opts.Sources) > 0; {
		source := c.opts.Sources[attempt%len(c.opts.Sources)]
		err := c.poll(ctx, source)
		c.recordResult(source, err)
		if err == nil {
			continue
		}
		c.opts.Logger.Debug("settings feed request failed", zap.String("peer", source), zap.Error(err))
		attempt++
		sleep(ctx, retryDelay)
	}
}

func (c *Client) recordResult(source string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.source, c.lastErr = source, nil
		return
	}
	c.lastErr = err
}

func (c *Client) isCurrent() bool {
	select {
	case <-c.current:
		return true
	default:
		return false
	}
}

// poll sends one request and applies the reply.
func (c *Client) poll(ctx context.Context, source string) error {
	timeout := requestTimeout
	barrier := !c.isCurrent() && !c.opts.GroupsOnly
	if barrier {
		timeout = barrierTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	payload, err := proto.Marshal(c.request(barrier))
	if err != nil {
		return err
	}
	data, err := c.opts.Send(ctx, source, payload)
	if err != nil {
		return err
	}
	var reply Reply
	if err := proto.Unmarshal(data, &reply); err != nil {
		return fmt.Errorf("decode feed reply: %w", err)
	}
	if err := c.applyReply(&reply); err != nil {
		return err
	}
	c.currentOnce.Do(func() { close(c.current) })
	return nil
}

func (c *Client) request(barrier bool) *Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	groups := make(map[string]uint64, len(c.groups))
	for domain, revision := range c.groups {
		groups[domain] = revision
	}
	request := &Request{Revision: c.Tree().Revision(), Groups: groups, Barrier: barrier, GroupsOnly: c.opts.GroupsOnly}
	if c.opts.OnVerdicts != nil {
		request.Verdicts = proto.Uint64(c.verdicts)
	}
	return request
}

func (c *Client) applyReply(reply *Reply) error {
	if err := c.applyVerdicts(reply); err != nil {
		return err
	}
	if err := c.applySettings(reply); err != nil {
		return err
	}
	for _, g := range reply.Groups {
		state := group.NewState()
		if err := state.Restore(g.State); err != nil {
			return err
		}
		c.applyGroups(g.FailureDomain, state)
	}
	return nil
}

// applySettings applies newer settings from a reply. It ignores older ones, so
// that a stale source cannot revert the settings.
func (c *Client) applySettings(reply *Reply) error {
	tree := c.Tree()
	before := tree.Revision()
	if len(reply.Tree) > 0 {
		newer, err := settings.DecodeTree(reply.Tree)
		if err != nil {
			return err
		}
		if newer.Revision() > tree.Revision() {
			tree = newer
		}
	}
	if len(reply.Records) > 0 {
		var records []settings.Record
		if err := json.Unmarshal(reply.Records, &records); err != nil {
			return err
		}
		next, _, err := tree.AdvanceAll(records)
		if err != nil {
			return err
		}
		tree = next
	}
	if tree.Revision() > before {
		c.tree.Store(tree)
		if c.opts.OnTree != nil {
			c.opts.OnTree(tree)
		}
	}
	return nil
}

func (c *Client) applyVerdicts(reply *Reply) error {
	if len(reply.Verdicts) == 0 || c.opts.OnVerdicts == nil {
		return nil
	}
	var stored quarantine.Stored
	if err := json.Unmarshal(reply.Verdicts, &stored); err != nil {
		return fmt.Errorf("decode verdicts: %w", err)
	}
	c.mu.Lock()
	newer := stored.Revision > c.verdicts
	c.verdicts = max(c.verdicts, stored.Revision)
	c.mu.Unlock()
	if newer {
		c.opts.OnVerdicts(&stored)
	}
	return nil
}

func (c *Client) applyGroups(domain string, state *group.State) {
	c.mu.Lock()
	known, ok := c.groups[domain]
	if ok && state.Revision <= known {
		c.mu.Unlock()
		return
	}
	c.groups[domain] = state.Revision
	c.mu.Unlock()
	if c.opts.OnGroups != nil {
		c.opts.OnGroups(domain, state)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
