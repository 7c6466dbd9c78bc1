package daemon

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/edge/caller"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/quarantine"
	"github.com/bluebellfield/bluebellfield/quarantine/quarantinepb"
	"github.com/bluebellfield/bluebellfield/settings"
)

const (
	channelQuarantine = "quarantine"
	quarantineBusy    = 50 * time.Millisecond
	quarantineIdle    = time.Second
)

// crashWatch finds requests that crash upstreams, together with the other
// entries.
type crashWatch struct {
	book    *quarantine.Book
	network messenger
	client  *upstream.Client
	live    func() []string
	tree    func() *settings.Tree
	logger  *zap.Logger
}

func newCrashWatch(self string, network messenger, client *upstream.Client, live func() []string, tree func() *settings.Tree, logger *zap.Logger) *crashWatch {
	c := &crashWatch{
		book: quarantine.New(quarantine.Config{Self: self}), network: network, client: client, live: live, tree: tree, logger: logger,
	}
	network.Handle(channelQuarantine, c.receive)
	return c
}

func digestOf(w *caller.Work) quarantine.Digest { return quarantine.Digest(w.Digest[:16]) }

// Check implements caller.Quarantine.
func (c *crashWatch) Check(w *caller.Work) error {
	return refused(c.book.Admit(time.Now(), digestOf(w)))
}

func refused(r quarantine.Ruling) error {
	if r.Action != quarantine.Refuse {
		return nil
	}
	return fault.New(fault.Quarantined, fault.At{Step: "quarantine"}, fault.NotRun,
		fmt.Sprintf("the request crashes upstreams and is refused until %s", r.Until.UTC().Format(time.RFC3339)))
}

// await returns how a request may run, after a suspect's crash has been
// reported by all entries.
func (c *crashWatch) await(w *caller.Work) (quarantine.Ruling, error) {
	for {
		ruling := c.book.Admit(time.Now(), digestOf(w))
		if err := refused(ruling); err != nil {
			return ruling, err
		}
		if ruling.Action != quarantine.Wait {
			return ruling, nil
		}
		if !time.Now().Before(w.Deadline) {
			return ruling, fault.New(fault.DeadlineExceeded, fault.At{Step: "quarantine"}, fault.NotRun, "the deadline passed while a crash was examined")
		}
		time.Sleep(suspectPause)
	}
}

func (c *crashWatch) finish(ch *choice, ending quarantine.Ending) {
	c.send(c.book.Finish(time.Now(), ch.run, ending))
}

// broken decides whether a broken connection was a crash. It is called before
// the request is sent again.
func (c *crashWatch) broken(ch *choice) {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbe)
	defer cancel()
	reply, err := c.client.State(ctx, upstream.Target{ID: ch.upstream.ID, Address: ch.upstream.Address})
	if err == nil && reply.Announcement.Incarnation == ch.target.Incarnation {
		c.finish(ch, quarantine.Broken)
		return
	}
	c.crashed(ch.target)
}

func (c *crashWatch) crashed(t quarantine.Target) {
	c.logger.Info("upstream crashed", zap.String("upstream", t.Upstream), zap.Uint64("incarnation", t.Incarnation))
	c.send(c.book.Crashed(time.Now(), t))
}

// onEvents reports upstreams that were lost with requests in flight.
func (c *crashWatch) onEvents(events []membership.Event) {
	for _, e := range events {
		if e.Kind == membership.Lost {
			c.crashed(quarantine.Target{Upstream: e.ID, Incarnation: e.Incarnation})
		}
	}
}

func (c *crashWatch) receive(_ context.Context, _ string, payload []byte) ([]byte, error) {
	message, err := quarantinepb.Decode(payload)
	if err != nil {
		return nil, err
	}
	c.send(c.book.Merge(time.Now(), message))
	return nil, nil
}

// send passes messages to all reachable entries.
func (c *crashWatch) send(messages []quarantine.Message) {
	for _, m := range messages {
		payload, err := quarantinepb.Encode(m)
		if err != nil {
			c.logger.Error("encode quarantine message", zap.Error(err))
			continue
		}
		for _, id := range c.live() {
			c.network.Send(id, channelQuarantine, payload)
		}
	}
}

// quarantineTime returns the longest quarantine that a service asks for: the
// book does not tell services apart.
func (c *crashWatch) quarantineTime() time.Duration {
	tree := c.tree()
	longest := time.Duration(0)
	for _, id := range tree.Services() {
		s, _ := tree.Service(id)
		longest = max(longest, s.Quarantine)
	}
	if longest == 0 {
		return quarantine.DefaultConfig().Quarantine
	}
	return longest
}

// run makes the book's time pass.
func (c *crashWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.book.SetEntries(time.Now(), c.live())
		c.book.SetQuarantine(c.quarantineTime())
		c.send(c.book.Tick(time.Now()))
		pause := quarantineIdle
		if c.book.Busy() {
			pause = quarantineBusy
		}
		wait(ctx, nil, pause)
	}
}
