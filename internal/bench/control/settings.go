package control

import (
	"encoding/json"
	"fmt"
	"runtime"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/internal/bench"
	"github.com/bluebellfield/bluebellfield/internal/feed"
	"github.com/bluebellfield/bluebellfield/settings"
)

const (
	changesPerDay = 10_000
	secondsPerDay = 86_400
	// pollSeconds is how long the feed holds a question without news.
	pollSeconds   = 10
	settingRounds = 20
)

// settingsCost is what a tree costs a daemon.
type settingsCost struct {
	usage
	// TreeBytes is the encoded tree, ChangeBytes the reply with one change.
	TreeBytes   int `json:"treeBytes"`
	ChangeBytes int `json:"changeBytes"`
	// ApplyMillis is the CPU time to put one change in force.
	ApplyMillis float64 `json:"applyMillis"`
}

// tree returns a tree in which most nodes are rules of an account at a service.
func tree(nodes int) (*settings.Tree, error) {
	var ops []settings.Op
	set := func(path, key string, v settings.Value) {
		ops = append(ops, settings.Op{Op: settings.OpSet, Path: path, Key: key, Value: v})
	}
	accounts := max(1, nodes/5)
	const services = 4
	for i := range accounts {
		path := settings.AccountPath(fmt.Sprintf("account-%d", i))
		set(path, settings.KeyClass, settings.Text(settings.ClassPaying))
		set(path, settings.KeyMaxRequestsPerSecond, settings.Number(1000))
	}
	for i := range services {
		path := settings.ServicePath(fmt.Sprintf("service-%d", i))
		set(path, settings.KeyKind, settings.Text(settings.KindModel))
		set(path, settings.KeyModel, settings.Text(fmt.Sprintf("model-%d", i)))
	}
	for i := 0; accounts+services+i < nodes && i < accounts*services; i++ {
		path := settings.ServiceAccountPath(fmt.Sprintf("service-%d", i%services), fmt.Sprintf("account-%d", i/services))
		set(path, settings.KeyMaxRequestsPerSecond, settings.Number(float64(100+i%10)))
	}
	t, problems := settings.NewTree(ops)
	if len(problems) > 0 {
		return nil, fmt.Errorf("tree of %d nodes: %w", nodes, problems[0])
	}
	return t, nil
}

func measureSettings(nodes int) (settingsCost, error) {
	var c settingsCost
	before := heapBytes()
	t, err := tree(nodes)
	if err != nil {
		return c, err
	}
	c.MB = float64(heapBytes()-before) / 1e6
	if c.TreeBytes, c.ChangeBytes, err = sizes(t); err != nil {
		return c, err
	}
	used, err := bench.CPUTime()
	if err != nil {
		return c, err
	}
	for i := range settingRounds {
		if t, err = t.Advance(change(t, i)); err != nil {
			return c, err
		}
	}
	after, err := bench.CPUTime()
	c.ApplyMillis = bench.Millis(after-used) / settingRounds
	perSecond := float64(changesPerDay) / secondsPerDay
	c.Core = c.ApplyMillis / 10 * perSecond
	// A follower sends a question for each answer.
	const question = 30
	rate := perSecond + 1.0/pollSeconds
	c.Payload = perSecond*float64(c.ChangeBytes) + rate*question
	c.Framed = perSecond*float64(framed(c.ChangeBytes)) + rate*float64(framed(question))
	c.Wire = c.Framed + rate*4*tcpHeader
	runtime.KeepAlive(t)
	return c, err
}

func change(t *settings.Tree, i int) settings.Record {
	return settings.Record{
		Revision: t.Revision() + 1, ID: fmt.Sprintf("change-%d", i), Author: "operator", At: origin,
		Ops:  []settings.Op{{Op: settings.OpSet, Path: settings.AccountPath("account-0"), Key: settings.KeyMaxRequestsPerSecond, Value: settings.Number(float64(1000 + i))}},
		Undo: []settings.Op{{Op: settings.OpSet, Path: settings.AccountPath("account-0"), Key: settings.KeyMaxRequestsPerSecond, Value: settings.Number(1000)}},
	}
}

func sizes(t *settings.Tree) (treeBytes, changeBytes int, err error) {
	whole, err := json.Marshal(t)
	if err != nil {
		return 0, 0, err
	}
	records, err := json.Marshal([]settings.Record{change(t, 0)})
	if err != nil {
		return 0, 0, err
	}
	return proto.Size(&feed.Reply{Tree: whole}), proto.Size(&feed.Reply{Records: records}), nil
}
