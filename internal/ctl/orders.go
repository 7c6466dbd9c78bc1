package ctl

import (
	"context"
	"fmt"

	"github.com/bluebellfield/bluebellfield/internal/edge/operator"
)

// addOrders adds the commands "drain" and "voters".
func (a *App) addOrders() error {
	if _, err := a.Parser.AddCommand("drain", "Take a daemon or an upstream out of service", "", &drainCommand{app: a}); err != nil {
		return err
	}
	voters, err := a.Parser.AddCommand("voters", "Show and change the voters of a log", "", &struct{}{})
	if err != nil {
		return err
	}
	if err := addNamedList(a, voters, "list", "voters", voterTable); err != nil {
		return err
	}
	if _, err := voters.AddCommand("add", "Add a voter", "", &voterCommand{app: a, action: operator.AddVoter}); err != nil {
		return err
	}
	_, err = voters.AddCommand("remove", "Remove a voter", "", &voterCommand{app: a, action: operator.RemoveVoter})
	return err
}

func voterTable(t *table, rows []operator.Voter) {
	t.row("LOG", "ID", "STORAGE", "LEADER", "LEARNER", "MATCH")
	for _, v := range rows {
		t.row(v.Log, v.ID, v.StorageID, yesNo(v.Leader), yesNo(v.Learner), v.Match)
	}
}

type drainCommand struct {
	app      *App
	Upstream bool `long:"upstream" description:"the id is that of an upstream"`
	Args     struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	in := operator.DrainRequest{Daemon: c.Args.ID}
	if c.Upstream {
		in = operator.DrainRequest{Upstream: c.Args.ID}
	}
	return c.app.postOrder("/v1/drain", in, "draining "+c.Args.ID)
}

type voterCommand struct {
	app     *App
	action  operator.VoterAction
	Storage string `long:"storage" value-name:"ID" description:"only the voter with this data directory"`
	Args    struct {
		Log string `positional-arg-name:"LOG" required:"yes"`
		ID  string `positional-arg-name:"INSTANCE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *voterCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	in := operator.VoterRequest{Action: c.action, Log: c.Args.Log, ID: c.Args.ID, StorageID: c.Storage}
	return c.app.postOrder("/v1/voters", in, fmt.Sprintf("accepted: %s voter %s of log %s", c.action, c.Args.ID, c.Args.Log))
}

// postOrder sends an idempotent order and prints message when it is accepted.
func (a *App) postOrder(path string, in any, message string) error {
	return a.withClient(func(ctx context.Context, client *Client) error {
		var out operator.AcceptedResponse
		if err := client.Post(ctx, path, in, &out); err != nil {
			return err
		}
		return a.print(out, func(t *table) { t.row(message) })
	})
}
