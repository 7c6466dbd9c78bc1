package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/bluebellfield/bluebellfield/internal/edge/operator"
	"github.com/bluebellfield/bluebellfield/internal/settingsfile"
	"github.com/bluebellfield/bluebellfield/settings"
)

// addSettings adds the command "settings" and its subcommands.
func (a *App) addSettings() error {
	parent, err := a.Parser.AddCommand("settings", "Read and change the settings", "", &struct{}{})
	if err != nil {
		return err
	}
	for _, c := range []struct {
		name, short string
		data        any
	}{
		{"validate", "Check a settings file", &validateCommand{app: a}},
		{"diff", "Compare a file with the settings, or two revisions", &diffCommand{app: a}},
		{"apply", "Replace the settings by those of a file", &applyCommand{app: a}},
		{"set", "Set keys of a node", &setCommand{app: a}},
		{"reset", "Remove values of a node, so that it inherits them", &resetCommand{app: a}},
		{"delete", "Delete a node and its descendants", &deleteCommand{app: a}},
		{"get", "Print the settings, a node's own values, or the value of a key", &getCommand{app: a}},
		{"explain", "Print the values in force at a node and where they come from", &explainCommand{app: a}},
		{"history", "List accepted changes", &historyCommand{app: a}},
		{"wait", "Wait until every daemon has a revision in force", &waitCommand{app: a}},
		{"rollback", "Restore an earlier revision with a new change", &rollbackCommand{app: a}},
		{"reference", "Print the reference page of all settings", commandFunc(func(args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			_, err := fmt.Fprint(a.Out, settings.Reference())
			return err
		})},
	} {
		data := c.data
		if f, ok := data.(commandFunc); ok {
			data = &funcCommand{f}
		}
		if _, err := parent.AddCommand(c.name, c.short, "", data); err != nil {
			return err
		}
	}
	return nil
}

// funcCommand wraps a commandFunc in a struct, which the parser requires.
type funcCommand struct{ commandFunc }

type fileArgument struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// loadFile reads a settings file. Invalid content is reported with ExitInvalid.
func loadFile(file string) (*settings.Tree, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	t, err := settingsfile.ParseTree(file, data)
	if err != nil {
		return nil, &CommandError{Code: ExitInvalid, Err: err}
	}
	return t, nil
}

type validateCommand struct {
	app *App
	fileArgument
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	t, err := loadFile(c.Args.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.app.Out, "%s: valid, %d nodes\n", c.Args.File, len(t.Paths()))
	return err
}

type diffCommand struct {
	app  *App
	Args struct {
		From string `positional-arg-name:"FILE|REVISION" required:"yes" description:"a file, or the first revision"`
		To   string `positional-arg-name:"REVISION" description:"the second revision (default: the newest)"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	from, err := strconv.ParseUint(c.Args.From, 10, 63)
	if err != nil {
		return c.diffFile()
	}
	query := url.Values{"from": {strconv.FormatUint(from, 10)}}
	if c.Args.To != "" {
		query.Set("to", c.Args.To)
	}
	return c.app.withClient(func(ctx context.Context, client *Client) error {
		var out operator.ListResponse[settings.Difference]
		if err := client.Get(ctx, "/v1/settings/diff?"+query.Encode(), &out); err != nil {
			return err
		}
		return c.app.printDiff(out.Rows)
	})
}

// diffFile compares a file with the newest settings.
func (c *diffCommand) diffFile() error {
	if c.Args.To != "" {
		return exitErrorf(ExitUsage, "expected one file, or one or two revisions")
	}
	target, err := loadFile(c.Args.From)
	if err != nil {
		return err
	}
	return c.app.withClient(func(ctx context.Context, client *Client) error {
		current, err := client.currentTree(ctx)
		if err != nil {
			return err
		}
		return c.app.printDiff(settings.Diff(current, target))
	})
}

type applyCommand struct {
	app *App
	changeOptions
	DryRun bool `long:"dry-run" description:"print what would change"`
	fileArgument
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	target, err := loadFile(c.Args.File)
	if err != nil {
		return err
	}
	return c.app.withClient(func(ctx context.Context, client *Client) error {
		base, err := c.baseTree(ctx, client)
		if err != nil {
			return err
		}
		if c.DryRun {
			return c.app.printDiff(settings.Diff(base, target))
		}
		ops := settings.OpsBetween(base, target)
		if len(ops) == 0 {
			_, err := fmt.Fprintf(c.app.Out, "revision %d already has these settings\n", base.Revision())
			return err
		}
		return c.app.submit(ctx, client, c.changeOptions, base.Revision(), ops)
	})
}

// baseTree returns the tree that the change is made against. With --base, a
// repeated command has the same ops as the first attempt, even if that attempt
// has been applied since.
func (c *applyCommand) baseTree(ctx context.Context, client *Client) (*settings.Tree, error) {
	if c.Base == nil {
		return client.currentTree(ctx)
	}
	var raw rawJSON
	if err := client.Get(ctx, fmt.Sprintf("/v1/settings?revision=%d", *c.Base), &raw); err != nil {
		return nil, err
	}
	return settings.DecodeTree(raw)
}

type setCommand struct {
	app *App
	changeOptions
	Args struct {
		Path   string   `positional-arg-name:"PATH" required:"yes"`
		Values []string `positional-arg-name:"KEY=VALUE" description:"none creates the node"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *setCommand) Execute([]string) error {
	ops := []settings.Op{{Op: settings.OpSet, Path: c.Args.Path}}
	for _, pair := range c.Args.Values {
		key, text, ok := strings.Cut(pair, "=")
		if !ok {
			return exitErrorf(ExitUsage, "argument %q: expected KEY=VALUE", pair)
		}
		value, err := parseValue(key, text)
		if err != nil {
			return exitErrorf(ExitUsage, "argument %q: %w", pair, err)
		}
		ops = append(ops, settings.Op{Op: settings.OpSet, Path: c.Args.Path, Key: key, Value: value})
	}
	return c.app.change(c.changeOptions, ops)
}

// parseValue parses the value of a key according to its type in the schema. A
// list is a JSON array or comma-separated items.
func parseValue(key, text string) (settings.Value, error) {
	k, known := settings.Describe(key)
	switch {
	case known && k.Type == settings.TypeString:
		return settings.Text(text), nil
	case known && k.Type == settings.TypeStrings && !strings.HasPrefix(text, "["):
		if text == "" {
			return settings.List(), nil
		}
		return settings.List(strings.Split(text, ",")...), nil
	}
	var v settings.Value
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		return settings.Text(text), nil
	}
	return v, nil
}

// change submits ops against --base, or the newest revision without it.
func (a *App) change(o changeOptions, ops []settings.Op) error {
	return a.withClient(func(ctx context.Context, client *Client) error {
		if o.Base != nil {
			return a.submit(ctx, client, o, *o.Base, ops)
		}
		tree, err := client.currentTree(ctx)
		if err != nil {
			return err
		}
		return a.submit(ctx, client, o, tree.Revision(), ops)
	})
}

type resetCommand struct {
	app *App
	changeOptions
	Args struct {
		Path string   `positional-arg-name:"PATH" required:"yes"`
		Keys []string `positional-arg-name:"KEY" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *resetCommand) Execute([]string) error {
	var ops []settings.Op
	for _, key := range c.Args.Keys {
		ops = append(ops, settings.Op{Op: settings.OpReset, Path: c.Args.Path, Key: key})
	}
	return c.app.change(c.changeOptions, ops)
}

type deleteCommand struct {
	app *App
	changeOptions
	Args struct {
		Path string `positional-arg-name:"PATH" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *deleteCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	return c.app.change(c.changeOptions, []settings.Op{{Op: settings.OpDelete, Path: c.Args.Path}})
}
