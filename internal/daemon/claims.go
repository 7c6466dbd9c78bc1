package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/claim"
	"github.com/bluebellfield/bluebellfield/globalstate"
	"github.com/bluebellfield/bluebellfield/internal/edge/caller"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/feed"
)

const (
	// lookupPollTimeout is how long a voter delays its reply to the lookup
	// of a running claim (long polling).
	lookupPollTimeout = 2 * time.Second
	claimRetryDelay   = 100 * time.Millisecond
	// recordTimeout limits the attempts to record the result of a claimed
	// request.
	recordTimeout = time.Minute
	// recordWait is how long an answer waits for its record. The answer is delivered
	// even if the log cannot be reached.
	recordWait = time.Second
)

// serveLookup returns the claim record of a key. While the claimed request is
// running, the reply is delayed by up to lookupPollTimeout.
func (l *hostedLogs) serveLookup(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var req feed.LookupRequest
	if err := proto.Unmarshal(payload, &req); err != nil || len(req.Key) != len(claim.Key{}) {
		return nil, fault.New(fault.BadRequest, fault.Location{Step: "claim lookup"}, fault.NotRun, "malformed request")
	}
	key := claim.Key(req.Key)
	ctx, cancel := context.WithTimeout(ctx, lookupPollTimeout)
	defer cancel()
	if _, found := l.global.machine.Lookup(key); !found {
		// The claim that the entry waits for may not have been applied on
		// this replica yet, and must not be reported as released.
		if err := l.global.Barrier(ctx); err != nil {
			return nil, err
		}
	}
	for {
		changed := l.global.Watch()
		record, found := l.global.machine.Lookup(key)
		if !found || record.State != claim.StateRunning || ctx.Err() != nil {
			return encodeLookup(record, found)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func encodeLookup(record claim.Record, found bool) ([]byte, error) {
	reply := &feed.LookupReply{Found: found, State: uint32(record.State)}
	if record.Answer != nil {
		answer, err := json.Marshal(record.Answer)
		if err != nil {
			return nil, err
		}
		reply.Answer = answer
	}
	return proto.Marshal(reply)
}

// claimer claims idempotency keys in the global log.
type claimer struct {
	global      *globalClient
	logs        *hostedLogs
	entry       string
	incarnation uint64
	logger      *zap.Logger
	// pendingRecords counts the results that are not recorded yet. A
	// graceful shutdown waits for them.
	pendingRecords sync.WaitGroup
}

func (c *claimer) holder(id caller.ClaimID) claim.Holder {
	return claim.Holder{Entry: c.entry, Incarnation: c.incarnation, Request: id.Holder}
}

func claimKey(id caller.ClaimID) claim.Key { return claim.HashKey(id.Account, id.Route, id.Key) }

// Claim implements caller.Claimer.
func (c *claimer) Claim(ctx context.Context, id caller.ClaimID, body [32]byte) (caller.ClaimState, caller.RecordedAnswer, error) {
	deadline, _ := ctx.Deadline()
	now := time.Now()
	result, err := c.propose(ctx, claim.Claim{
		Key: claimKey(id), Account: id.Account, Body: body, Holder: c.holder(id), KeyTime: claim.KeyTime(id.Key), Deadline: deadline, At: now,
	})
	if err != nil {
		if fault.OutcomeOf(err) != fault.NotRun {
			// The claim may have been granted, but no request will run
			// under it.
			c.Release(id)
		}
		// The request was not dispatched and will not be.
		return 0, caller.RecordedAnswer{}, fault.Wrap(err, fault.ClaimUnavailable, fault.LocationOf(err), fault.NotRun)
	}
	return claimState(result)
}

func claimState(r claim.Result) (caller.ClaimState, caller.RecordedAnswer, error) {
	at := fault.Location{Step: caller.StepClaim}
	switch r.Code {
	case claim.Granted:
		return caller.ClaimGranted, caller.RecordedAnswer{}, nil
	case claim.Running:
		return caller.ClaimRunning, caller.RecordedAnswer{}, nil
	case claim.Done:
		return caller.ClaimDone, callerAnswer(r.Answer), nil
	case claim.Unknown, claim.KeyUsed:
		return caller.ClaimUnknown, caller.RecordedAnswer{}, nil
	case claim.BodyConflict:
		return 0, caller.RecordedAnswer{}, fault.New(fault.KeyConflict, at, fault.NotRun, "the idempotency key was used with another request")
	case claim.KeyExpired:
		return 0, caller.RecordedAnswer{}, fault.New(fault.KeyExpired, at, fault.NotRun, "the idempotency key is too old to verify that it was not used before")
	}
	return 0, caller.RecordedAnswer{}, fault.New(fault.ClaimUnavailable, at, fault.NotRun, fmt.Sprintf("the claim was refused: %s", r.Code))
}

func callerAnswer(a *claim.Answer) caller.RecordedAnswer {
	if a == nil {
		return caller.RecordedAnswer{}
	}
	header := make(http.Header, len(a.Header))
	for _, f := range a.Header {
		header.Add(f.Name, f.Value)
	}
	return caller.RecordedAnswer{Status: a.Status, Header: header, Body: a.Body, Stored: !a.BodyOmitted}
}

// Await implements caller.Claimer.
func (c *claimer) Await(ctx context.Context, id caller.ClaimID, _ [32]byte) (caller.ClaimState, caller.RecordedAnswer, error) {
	at := fault.Location{Step: caller.StepClaim}
	key := claimKey(id)
	payload, err := proto.Marshal(&feed.LookupRequest{Key: key[:]})
	if err != nil {
		return 0, caller.RecordedAnswer{}, err
	}
	for ctx.Err() == nil {
		reply, err := c.lookup(ctx, payload)
		if err != nil {
			wait(ctx, nil, claimRetryDelay)
			continue
		}
		switch state := claim.State(reply.State); {
		case !reply.Found:
			return 0, caller.RecordedAnswer{}, fault.New(fault.Conflict, at, fault.NotRun, "the first request with this idempotency key did not run; send it again")
		case state == claim.StateDone:
			var answer claim.Answer
			if err := json.Unmarshal(reply.Answer, &answer); err != nil {
				return 0, caller.RecordedAnswer{}, err
			}
			return caller.ClaimDone, callerAnswer(&answer), nil
		case state != claim.StateRunning:
			return caller.ClaimUnknown, caller.RecordedAnswer{}, nil
		}
	}
	return 0, caller.RecordedAnswer{}, fault.New(fault.DeadlineExceeded, at, fault.Unknown, "the first request with this idempotency key is still running")
}

func (c *claimer) lookup(ctx context.Context, payload []byte) (*feed.LookupReply, error) {
	var answer []byte
	var err error
	if c.logs.global != nil && c.logs.global.isMember() {
		answer, err = c.logs.serveLookup(ctx, "", payload)
	} else {
		err = fault.New(fault.Unavailable, fault.Location{Step: "claim lookup"}, fault.Unknown, "no other voter of the global log is configured")
		for _, voter := range sortByProximity(c.global.cfg, c.global.cfg.Logs.Global) {
			if voter == c.entry {
				continue
			}
			if answer, err = c.global.network.Call(ctx, voter, channelClaim, payload); err == nil {
				break
			}
		}
	}
	if err != nil {
		return nil, err
	}
	var reply feed.LookupReply
	return &reply, proto.Unmarshal(answer, &reply)
}

// Complete implements caller.Claimer. It returns once the answer is recorded, or after
// recordWait: if the entry ended before, a resend would not get the answer that the
// first request got.
func (c *claimer) Complete(id caller.ClaimID, answer *caller.RecordedAnswer) {
	command := claim.Complete{Key: claimKey(id), Holder: c.holder(id), Lost: answer == nil, At: time.Now()}
	if answer != nil {
		command.Answer = claimAnswer(answer)
	}
	recorded := c.recordAsync(command)
	if answer == nil {
		return
	}
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	}
}

func claimAnswer(a *caller.RecordedAnswer) claim.Answer {
	stored := claim.Answer{Status: a.Status, Body: a.Body}
	size := len(a.Body)
	for name, values := range a.Header {
		for _, v := range values {
			stored.Header = append(stored.Header, claim.Field{Name: name, Value: v})
			size += len(name) + len(v)
		}
	}
	if size > claim.MaxAnswerBytes {
		stored.Body, stored.BodyOmitted = nil, true
	}
	return stored
}

// Release implements caller.Claimer.
func (c *claimer) Release(id caller.ClaimID) {
	c.recordAsync(claim.Release{Key: claimKey(id), Holder: c.holder(id), At: time.Now()})
}

// recordAsync proposes a command in the background until the log confirms it
// or recordTimeout passes. A resent request that arrives earlier finds the
// claim running and waits. The returned channel is closed at the end.
func (c *claimer) recordAsync(command claim.Command) <-chan struct{} {
	ended := make(chan struct{})
	c.pendingRecords.Go(func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		for ctx.Err() == nil {
			if _, err := c.propose(ctx, command); err == nil {
				return
			}
			wait(ctx, nil, claimRetryDelay)
		}
		c.logger.Warn("recording the result of a claimed request timed out; its outcome will be unknown")
	})
	return ended
}

// abandonPreviousClaims marks the claims of earlier incarnations of this
// entry as unknown.
func (c *claimer) abandonPreviousClaims(ctx context.Context) {
	for ctx.Err() == nil {
		proposal, cancel := context.WithTimeout(ctx, proposeTimeout)
		_, err := c.propose(proposal, claim.Abandon{Entry: c.entry, Before: c.incarnation, At: time.Now()})
		cancel()
		if err == nil {
			return
		}
		wait(ctx, nil, time.Second)
	}
}

func (c *claimer) propose(ctx context.Context, command claim.Command) (claim.Result, error) {
	data, err := c.global.Propose(ctx, globalstate.EncodeClaim(command))
	if err != nil {
		return claim.Result{}, err
	}
	return globalstate.DecodeClaimResult(data)
}
