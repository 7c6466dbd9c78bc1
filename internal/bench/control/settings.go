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
	// longPollSeconds is the time after which the feed answers a request even
	// without changes.
	longPollSeconds = 10
	settingsRounds  = 20
)

// settingsCost is the cost of a settings tree for a daemon.
type settingsCost struct {
	usage
	// TreeBytes is the size of a reply with the whole tree, ChangeBytes that of
	// a reply with one change.
	TreeBytes   int `json:"treeBytes"`
	ChangeBytes int `json:"changeBytes"`
	// ApplyMillis is the CPU time to apply one change.
	ApplyMillis float64 `json:"applyMillis"`
}

// buildTree returns a tree in which most nodes hold the rules of an account at a
// service.
func buildTree(nodes int) (*settings.Tree, error) {
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
	heapBefore := heapBytes()
	t, err := buildTree(nodes)
	if err != nil {
		return c, err
	}
	c.Megabytes = float64(heapBytes()-heapBefore) / 1e6
	if c.TreeBytes, c.ChangeBytes, err = encodedSizes(t); err != nil {
		return c, err
	}
	cpuBefore, err := bench.CPUTime()
	if err != nil {
		return c, err
	}
	for i := range settingsRounds {
		if t, err = t.Advance(makeChange(t, i)); err != nil {
			return c, err
		}
	}
	cpuAfter, err := bench.CPUTime()
	c.ApplyMillis = bench.Milliseconds(cpuAfter-cpuBefore) / settingsRounds
	changesPerSecond := float64(changesPerDay) / secondsPerDay
	c.CorePercent = c.ApplyMillis / 10 * changesPerSecond
	// A follower sends one request for each reply.
	const requestBytes = 30
	repliesPerSecond := changesPerSecond + 1.0/longPollSeconds
	c.Payload = changesPerSecond*float64(c.ChangeBytes) + repliesPerSecond*requestBytes
	c.Framed = changesPerSecond*float64(framedSize(c.ChangeBytes)) + repliesPerSecond*float64(framedSize(requestBytes))
	c.Wire = c.Framed + repliesPerSecond*4*tcpHeaderBytes
	runtime.KeepAlive(t)
	return c, err
}

func makeChange(t *settings.Tree, i int) settings.Record {
	return settings.Record{
		Revision: t.Revision() + 1, ID: fmt.Sprintf("change-%d", i), Author: "operator", At: simulationStart,
		Ops:  []settings.Op{{Op: settings.OpSet, Path: settings.AccountPath("account-0"), Key: settings.KeyMaxRequestsPerSecond, Value: settings.Number(float64(1000 + i))}},
		Undo: []settings.Op{{Op: settings.OpSet, Path: settings.AccountPath("account-0"), Key: settings.KeyMaxRequestsPerSecond, Value: settings.Number(1000)}},
	}
}

func encodedSizes(t *settings.Tree) (treeBytes, changeBytes int, err error) {
	encoded, err := json.Marshal(t)
	if err != nil {
		return 0, 0, err
	}
	records, err := json.Marshal([]settings.Record{makeChange(t, 0)})
	if err != nil {
		return 0, 0, err
	}
	return proto.Size(&feed.Reply{Tree: encoded}), proto.Size(&feed.Reply{Records: records}), nil
}
