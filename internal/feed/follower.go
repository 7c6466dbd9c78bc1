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
	"github.com/bluebellfield/bluebellfield/settings"
)

const (
	// askTimeout is longer than a source holds a question.
	askTimeout = holdTime + 2*time.Second
	// barrierTimeout bounds the wait for a source to prove that it is current,
	// so that the next source is tried.
	barrierTimeout = 3 * time.Second
	retryPause     = 100 * time.Millisecond
)

// Ask sends a request to a source.
type Ask func(ctx context.Context, source string, payload []byte) ([]byte, error)

// Options of a Client.
type Options struct {
	// Sources are the control instances to follow, the preferred one first.
	Sources []string
	Ask     Ask
	// GroupsOnly follows replica groups without settings.
	GroupsOnly bool
	// OnTree is called with each newer tree, OnGroups with newer groups.
	OnTree   func(*settings.Tree)
	OnGroups func(failureDomain string, state *group.State)
	Logger   *zap.Logger
}

// Client follows a source and moves to another one when it fails.
type Client struct {
	opts Options
	tree atomic.Pointer[settings.Tree]
	// current is closed after the first proven answer.
	current     chan struct{}
	currentOnce sync.Once

	mu     sync.Mutex
	groups map[string]uint64
	source string
	failed error
}

// NewClient returns a client that has nothing.
func NewClient(o Options) *Client {
	c := &Client{opts: o, current: make(chan struct{}), groups: map[string]uint64{}}
	c.tree.Store(settings.Empty())
	return c
}

// Tree returns the settings in force.
func (c *Client) Tree() *settings.Tree { return c.tree.Load() }

// Current is closed once the settings are proven to be at least as new as any
// that were in force in the failure domain when the client started.
func (c *Client) Current() <-chan struct{} { return c.current }

// Source returns the control instance that is followed, and the last error
// when none answers.
func (c *Client) Source() (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.source, c.failed
}

// Run follows until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for turn := 0; ctx.Err() == nil && len(c.opts.Sources) > 0; {
		source := c.opts.Sources[turn%len(c.opts.Sources)]
		err := c.ask(ctx, source)
		c.note(source, err)
		if err == nil {
			continue
		}
		c.opts.Logger.Debug("settings feed failed", zap.String("peer", source), zap.Error(err))
		turn++
		pause(ctx, retryPause)
	}
}

func (c *Client) note(source string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.source, c.failed = source, nil
		return
	}
	c.failed = err
}

func (c *Client) proven() bool {
	select {
	case <-c.current:
		return true
	default:
		return false
	}
}

// ask makes one request and applies the reply.
func (c *Client) ask(ctx context.Context, source string) error {
	timeout := askTimeout
	barrier := !c.proven() && !c.opts.GroupsOnly
	if barrier {
		timeout = barrierTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	payload, err := proto.Marshal(c.request(barrier))
	if err != nil {
		return err
	}
	answer, err := c.opts.Ask(ctx, source, payload)
	if err != nil {
		return err
	}
	var reply Reply
	if err := proto.Unmarshal(answer, &reply); err != nil {
		return fmt.Errorf("decode reply of the feed: %w", err)
	}
	if err := c.apply(&reply); err != nil {
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
	return &Request{Revision: c.Tree().Revision(), Groups: groups, Barrier: barrier, GroupsOnly: c.opts.GroupsOnly}
}

func (c *Client) apply(reply *Reply) error {
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

// applySettings puts newer settings in force. Older ones are ignored, whatever
// source they come from.
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

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
