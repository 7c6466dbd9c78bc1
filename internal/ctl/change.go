package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/bluebellfield/bluebellfield/internal/edge/operator"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/settings"
)

// changeOptions are those of every command that changes the settings.
type changeOptions struct {
	Base *uint64 `long:"base" value-name:"REVISION" description:"revision that the change was made against (default: the newest)"`
	ID   string  `long:"id" value-name:"ID" description:"id of the change; give that of an earlier try to send it again"`
}

func newChangeID() (string, error) {
	var raw [16]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return "", fmt.Errorf("draw a change id: %w", err)
	}
	return hex.EncodeToString(raw[:]), nil
}

// tree reads the newest settings.
func (c *Client) tree(ctx context.Context) (*settings.Tree, error) {
	var raw rawJSON
	if err := c.Get(ctx, "/v1/settings", &raw); err != nil {
		return nil, err
	}
	return settings.DecodeTree(raw)
}

// rawJSON keeps the bytes of an answer.
type rawJSON []byte

// UnmarshalJSON implements json.Unmarshaler.
func (r *rawJSON) UnmarshalJSON(data []byte) error {
	*r = append((*r)[:0], data...)
	return nil
}

// submit sends a change and prints its answer.
func (a *App) submit(ctx context.Context, c *Client, o changeOptions, base uint64, ops []settings.Op) error {
	in := operator.ChangeRequest{ID: o.ID, Base: base, Ops: ops}
	if o.Base != nil {
		in.Base = *o.Base
	}
	if in.ID == "" {
		var err error
		if in.ID, err = a.newID(); err != nil {
			return err
		}
	}
	var result settings.Result
	if err := c.Post(ctx, "/v1/settings/changes", in, &result); err != nil {
		return a.changeError(in, err)
	}
	if a.JSON() {
		return a.printJSON(result)
	}
	fmt.Fprintf(a.Out, "applied as revision %d (change %s)\n", result.Revision, in.ID)
	return nil
}

// changeError gives a refused change its exit code, and tells how to find out
// what became of one whose answer was lost.
func (a *App) changeError(in operator.ChangeRequest, err error) error {
	var answer *APIError
	if !errors.As(err, &answer) || again(err) {
		code := ExitError
		if errors.Is(err, context.DeadlineExceeded) {
			code = ExitTimeout
		}
		return exit(code, "no certain answer; the same command with --id %s --base %d is safe: %w", in.ID, in.Base, err)
	}
	if a.JSON() {
		if err := a.printJSON(answer.Body); err != nil {
			return err
		}
	}
	switch answer.Body.Error.Code {
	case fault.Conflict:
		a.printConflicts(answer.Body.Result)
		return &ExitStatus{Code: ExitConflict, Err: err}
	case fault.Invalid:
		a.printProblems(answer.Body.Problems)
		return &ExitStatus{Code: ExitInvalid, Err: err}
	}
	return err
}

func (a *App) printConflicts(r *settings.Result) {
	if r == nil || a.JSON() {
		return
	}
	for _, c := range r.Conflicts {
		mark := ""
		if c.Overlaps {
			mark = " (also in this change)"
		}
		fmt.Fprintf(a.Err, "revision %d by %s: %s %s%s\n", c.Revision, c.Author, c.Path, c.Key, mark)
	}
	if r.MoreConflicts > 0 {
		fmt.Fprintf(a.Err, "and %d more\n", r.MoreConflicts)
	}
}

func (a *App) printProblems(problems []settings.Problem) {
	if a.JSON() {
		return
	}
	for _, p := range problems {
		fmt.Fprintln(a.Err, p.Error())
	}
}
