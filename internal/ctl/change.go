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

// changeOptions are shared by the commands that change the settings.
type changeOptions struct {
	Base *uint64 `long:"base" value-name:"REVISION" description:"revision that the change was made against (default: the newest)"`
	ID   string  `long:"id" value-name:"ID" description:"id of the change; give that of an earlier try to send it again"`
}

func newChangeID() (string, error) {
	var raw [16]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return "", fmt.Errorf("generate change id: %w", err)
	}
	return hex.EncodeToString(raw[:]), nil
}

// currentTree fetches the newest revision of the settings.
func (c *Client) currentTree(ctx context.Context) (*settings.Tree, error) {
	var raw rawJSON
	if err := c.Get(ctx, "/v1/settings", &raw); err != nil {
		return nil, err
	}
	return settings.DecodeTree(raw)
}

// rawJSON holds an undecoded JSON response.
type rawJSON []byte

// UnmarshalJSON implements json.Unmarshaler.
func (r *rawJSON) UnmarshalJSON(data []byte) error {
	*r = append((*r)[:0], data...)
	return nil
}

// submit sends a change against base, or against --base when it is set, and
// prints the result.
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

// changeError maps a rejected change to its exit code. When no server gave a
// definite answer, the error names the options with which the change can be
// repeated without being applied twice.
func (a *App) changeError(in operator.ChangeRequest, err error) error {
	var apiErr *APIError
	if !errors.As(err, &apiErr) || retryable(err) {
		code := ExitError
		if errors.Is(err, context.DeadlineExceeded) {
			code = ExitTimeout
		}
		return exitErrorf(code, "outcome unknown; repeating the command with --id %s --base %d is safe: %w", in.ID, in.Base, err)
	}
	if a.JSON() {
		if err := a.printJSON(apiErr.Body); err != nil {
			return err
		}
	}
	switch apiErr.Body.Error.Code {
	case fault.Conflict:
		a.printConflicts(apiErr.Body.Result)
		return &CommandError{Code: ExitConflict, Err: err}
	case fault.Invalid:
		a.printProblems(apiErr.Body.Problems)
		return &CommandError{Code: ExitInvalid, Err: err}
	}
	return err
}

func (a *App) printConflicts(r *settings.Result) {
	if r == nil || a.JSON() {
		return
	}
	for _, c := range r.Conflicts {
		suffix := ""
		if c.Overlaps {
			suffix = " (also in this change)"
		}
		fmt.Fprintf(a.Err, "revision %d by %s: %s %s%s\n", c.Revision, c.Author, c.Path, c.Key, suffix)
	}
	if r.MoreConflicts > 0 {
		fmt.Fprintf(a.Err, "and %d more conflicts\n", r.MoreConflicts)
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
