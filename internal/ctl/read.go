package ctl

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/edge/operator"
	"github.com/bluebellfield/bluebellfield/internal/settingsfile"
	"github.com/bluebellfield/bluebellfield/settings"
)

type getCommand struct {
	app  *App
	Args struct {
		Path string `positional-arg-name:"PATH" description:"node (default: the whole tree)"`
		Key  string `positional-arg-name:"KEY" description:"print the value in force of this key only"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	return c.app.withClient(func(ctx context.Context, client *Client) error {
		tree, err := client.currentTree(ctx)
		if err != nil {
			return err
		}
		switch {
		case c.Args.Key != "":
			value, _, err := tree.Effective(c.Args.Path, c.Args.Key)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.app.Out, value)
			return err
		case c.Args.Path != "":
			values, ok := tree.LocalValues(c.Args.Path)
			if !ok {
				return fmt.Errorf("node %q does not exist at revision %d", c.Args.Path, tree.Revision())
			}
			return c.app.printJSON(values)
		}
		data, err := settingsfile.FormatTree(tree)
		if err != nil {
			return err
		}
		_, err = c.app.Out.Write(data)
		return err
	})
}

type explainCommand struct {
	app  *App
	Args struct {
		Path string `positional-arg-name:"PATH" required:"yes"`
		Key  string `positional-arg-name:"KEY" description:"only this key"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	query := url.Values{"path": {c.Args.Path}}
	if c.Args.Key != "" {
		query.Set("key", c.Args.Key)
	}
	return c.app.withClient(func(ctx context.Context, client *Client) error {
		var out operator.Explanation
		if err := client.Get(ctx, "/v1/settings/explain?"+query.Encode(), &out); err != nil {
			return err
		}
		return c.app.print(out, func(t *table) {
			t.row("KEY", "VALUE", "FROM")
			for _, s := range out.Settings {
				from := s.Origin.Path
				if s.Origin.Default {
					from = "default"
				}
				t.row(s.Key, s.Value, from)
			}
		})
	})
}

type historyCommand struct {
	app   *App
	After uint64 `long:"after" value-name:"REVISION" description:"only changes after this revision"`
	Limit int    `long:"limit" default:"20" description:"show the newest of them"`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	return c.app.withClient(func(ctx context.Context, client *Client) error {
		var out operator.ListResponse[settings.Record]
		if err := client.Get(ctx, fmt.Sprintf("/v1/settings/history?after=%d&limit=%d", c.After, c.Limit), &out); err != nil {
			return err
		}
		return c.app.print(out.Rows, func(t *table) {
			t.row("REVISION", "AT", "AUTHOR", "ID", "CHANGE")
			for _, r := range out.Rows {
				for i, op := range r.Ops {
					if i == 0 {
						t.row(r.Revision, r.At.Format(time.RFC3339), r.Author, r.ID, op)
					} else {
						t.row("", "", "", "", op)
					}
				}
			}
		})
	})
}

type waitCommand struct {
	app  *App
	Args struct {
		Revision string `positional-arg-name:"REVISION" description:"default: the newest"`
	} `positional-args:"yes"`
}

// waitMargin is added to the client timeout of a wait, since the server answers
// only when --timeout has passed, with the daemons that lack the revision.
const waitMargin = 5 * time.Second

// Execute implements flags.Commander.
func (c *waitCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	return c.app.withClientTimeout(c.app.Global.Timeout+waitMargin, func(ctx context.Context, client *Client) error {
		revision, err := c.revision(ctx, client)
		if err != nil {
			return err
		}
		millis := c.app.Global.Timeout.Milliseconds()
		var out operator.WaitResult
		if err := client.GetLongPoll(ctx, fmt.Sprintf("/v1/settings/wait?revision=%d&timeoutMs=%d", revision, millis), &out); err != nil {
			return err
		}
		if err := c.app.print(out, func(t *table) { waitTable(t, out) }); err != nil {
			return err
		}
		if !out.Done {
			return exitErrorf(ExitTimeout, "%d of %d daemons do not have revision %d", len(out.Missing), len(out.Missing)+len(out.Have), revision)
		}
		return nil
	})
}

func (c *waitCommand) revision(ctx context.Context, client *Client) (uint64, error) {
	if c.Args.Revision == "" {
		tree, err := client.currentTree(ctx)
		if err != nil {
			return 0, err
		}
		return tree.Revision(), nil
	}
	n, err := strconv.ParseUint(c.Args.Revision, 10, 63)
	if err != nil {
		return 0, exitErrorf(ExitUsage, "revision %q: expected a non-negative integer", c.Args.Revision)
	}
	return n, nil
}

func waitTable(t *table, w operator.WaitResult) {
	t.row("DAEMON", "FAILURE DOMAIN", "REVISION", "AGE", "IN FORCE")
	for _, p := range w.Missing {
		t.row(p.Daemon, p.FailureDomain, p.Revision, formatMillis(p.AgeMS), "no "+p.Error)
	}
	for _, p := range w.Have {
		t.row(p.Daemon, p.FailureDomain, p.Revision, formatMillis(p.AgeMS), "yes")
	}
}

type rollbackCommand struct {
	app *App
	changeOptions
	DryRun bool `long:"dry-run" description:"print what would change"`
	Args   struct {
		Revision uint64 `positional-arg-name:"REVISION" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *rollbackCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	return c.app.withClient(func(ctx context.Context, client *Client) error {
		plan, err := c.plan(ctx, client)
		if err != nil {
			return err
		}
		if c.DryRun {
			return c.app.print(plan, func(t *table) {
				for _, op := range plan.Ops {
					t.row(op)
				}
			})
		}
		if len(plan.Ops) == 0 {
			_, err := fmt.Fprintf(c.app.Out, "revision %d already has these settings\n", plan.Base)
			return err
		}
		return c.app.submit(ctx, client, c.changeOptions, plan.Base, plan.Ops)
	})
}

// plan returns the change that restores the revision. With --base, a repeated
// command has the same change as the first attempt, even if that attempt has
// been applied since.
func (c *rollbackCommand) plan(ctx context.Context, client *Client) (operator.RollbackPlan, error) {
	var plan operator.RollbackPlan
	if c.Base == nil {
		err := client.Get(ctx, fmt.Sprintf("/v1/settings/rollback?revision=%d", c.Args.Revision), &plan)
		return plan, err
	}
	var trees [2]*settings.Tree
	for i, revision := range []uint64{*c.Base, c.Args.Revision} {
		var raw rawJSON
		err := client.Get(ctx, fmt.Sprintf("/v1/settings?revision=%d", revision), &raw)
		if err != nil {
			return plan, err
		}
		if trees[i], err = settings.DecodeTree(raw); err != nil {
			return plan, err
		}
	}
	return operator.RollbackPlan{Base: *c.Base, Ops: settings.OpsBetween(trees[0], trees[1])}, nil
}
