package daemon

import (
	"context"
	"encoding/json"

	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/settings"
)

// readKind is the kind of a query to the settings of the global log.
type readKind string

const (
	readTree     readKind = "tree"
	readTreeAt   readKind = "tree-at"
	readHistory  readKind = "history"
	readDiff     readKind = "diff"
	readRollback readKind = "rollback"
)

type readRequest struct {
	Kind readKind `json:"kind"`
	From uint64   `json:"from,omitempty"`
	To   uint64   `json:"to,omitempty"`
}

type readReply struct {
	Tree        *settings.Tree        `json:"-"`
	Encoded     json.RawMessage       `json:"tree,omitempty"`
	Records     []settings.Record     `json:"records,omitempty"`
	Differences []settings.Difference `json:"differences,omitempty"`
	Ops         []settings.Op         `json:"ops,omitempty"`
	Base        uint64                `json:"base,omitempty"`
}

// Tree implements operator.Reader. A daemon that cannot reach the global log
// returns the settings that it has in force.
func (o *operations) Tree(ctx context.Context) (*settings.Tree, error) {
	reply, err := o.read(ctx, readRequest{Kind: readTree})
	if err != nil {
		return o.d.shared.Tree(), nil
	}
	return reply.Tree, nil
}

// TreeAt implements operator.Reader.
func (o *operations) TreeAt(ctx context.Context, revision uint64) (*settings.Tree, error) {
	reply, err := o.read(ctx, readRequest{Kind: readTreeAt, From: revision})
	return reply.Tree, err
}

// History implements operator.Reader.
func (o *operations) History(ctx context.Context, after uint64) ([]settings.Record, error) {
	reply, err := o.read(ctx, readRequest{Kind: readHistory, From: after})
	return reply.Records, err
}

// Diff implements operator.Reader.
func (o *operations) Diff(ctx context.Context, from, to uint64) ([]settings.Difference, error) {
	reply, err := o.read(ctx, readRequest{Kind: readDiff, From: from, To: to})
	return reply.Differences, err
}

// Rollback implements operator.Reader.
func (o *operations) Rollback(ctx context.Context, revision uint64) ([]settings.Op, uint64, error) {
	reply, err := o.read(ctx, readRequest{Kind: readRollback, From: revision})
	return reply.Ops, reply.Base, err
}

// read queries the global log, locally or through one of its voters.
func (o *operations) read(ctx context.Context, r readRequest) (readReply, error) {
	ctx, cancel := context.WithTimeout(ctx, remoteQueryTimeout)
	defer cancel()
	if o.d.logs.global != nil {
		return o.readLocal(ctx, r)
	}
	payload, err := json.Marshal(r)
	if err != nil {
		return readReply{}, err
	}
	err = fault.New(fault.Unavailable, fault.Location{Step: "read settings"}, fault.NotRun, "no other voter of the global log is configured")
	for _, voter := range sortByProximity(o.d.cfg, o.d.cfg.Logs.Global) {
		var answer []byte
		if answer, err = o.d.network.Call(ctx, voter, channelRead, payload); err == nil {
			return decodeReadReply(answer)
		}
	}
	return readReply{}, err
}

func decodeReadReply(answer []byte) (readReply, error) {
	var reply readReply
	if err := json.Unmarshal(answer, &reply); err != nil {
		return reply, err
	}
	var err error
	if len(reply.Encoded) > 0 {
		reply.Tree, err = settings.DecodeTree(reply.Encoded)
	}
	return reply, err
}

// readLocal reads the local replica after proving that it is current.
func (o *operations) readLocal(ctx context.Context, r readRequest) (readReply, error) {
	var reply readReply
	if err := o.d.logs.global.Barrier(ctx); err != nil {
		return reply, err
	}
	machine := o.d.logs.global.machine
	var err error
	switch r.Kind {
	case readTree:
		reply.Tree = machine.Tree()
	case readTreeAt:
		reply.Tree, err = machine.TreeAt(r.From)
	case readHistory:
		reply.Records = machine.History(r.From)
	case readDiff:
		reply.Differences, err = machine.Diff(r.From, r.To)
	case readRollback:
		reply.Ops, reply.Base, err = machine.Rollback(r.From)
	}
	return reply, err
}

func (o *operations) serveRead(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var r readRequest
	if err := json.Unmarshal(payload, &r); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, fault.Location{Step: "read settings"}, fault.NotRun)
	}
	reply, err := o.readLocal(ctx, r)
	if err != nil {
		return nil, err
	}
	if reply.Tree != nil {
		if reply.Encoded, err = json.Marshal(reply.Tree); err != nil {
			return nil, err
		}
	}
	return json.Marshal(reply)
}
