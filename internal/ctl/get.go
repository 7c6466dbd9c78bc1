package ctl

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/bluebellfield/bluebellfield/internal/edge/operator"
)

// listOptions filters the rows of a list.
type listOptions struct {
	ID            string `long:"id" description:"only this row"`
	Service       string `long:"service" description:"only rows of this service"`
	Account       string `long:"account" description:"only rows of this account"`
	FailureDomain string `long:"failure-domain" description:"only rows of this failure domain"`
	Limit         int    `long:"limit" description:"at most this many rows"`
}

func (o *listOptions) query() string {
	q := url.Values{}
	for name, value := range map[string]string{"id": o.ID, "service": o.Service, "account": o.Account, "failureDomain": o.FailureDomain} {
		if value != "" {
			q.Set(name, value)
		}
	}
	if o.Limit > 0 {
		q.Set("limit", strconv.Itoa(o.Limit))
	}
	if len(q) == 0 {
		return ""
	}
	return "?" + q.Encode()
}

// addGet adds the command "get" and its subcommands.
func (a *App) addGet() error {
	parent, err := a.Parser.AddCommand("get", "Show the state of a daemon", "", &struct{}{})
	if err != nil {
		return err
	}
	adds := []error{
		addList(a, parent, "upstreams", upstreamTable),
		addList(a, parent, "groups", groupTable),
		addList(a, parent, "queues", queueTable),
		addList(a, parent, "limits", limitTable),
		addList(a, parent, "quarantines", quarantineTable),
		addList(a, parent, "peers", peerTable),
		addList(a, parent, "traces", traceTable),
	}
	for _, err := range adds {
		if err != nil {
			return err
		}
	}
	_, err = parent.AddCommand("status", "Show the status of the daemon that answers", "", &funcCommand{a.status})
	return err
}

// listCommand prints the rows of one list resource of the operators' API.
type listCommand[T any] struct {
	listOptions
	app      *App
	resource string
	fill     func(t *table, rows []T)
}

func addList[T any](a *App, parent *flags.Command, resource string, fill func(t *table, rows []T)) error {
	return addNamedList(a, parent, resource, resource, fill)
}

// addNamedList adds a list command whose name differs from its resource.
func addNamedList[T any](a *App, parent *flags.Command, command, resource string, fill func(t *table, rows []T)) error {
	_, err := parent.AddCommand(command, "List "+resource, "", &listCommand[T]{app: a, resource: resource, fill: fill})
	return err
}

// Execute implements flags.Commander.
func (c *listCommand[T]) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	return c.app.withClient(func(ctx context.Context, client *Client) error {
		var out operator.ListResponse[T]
		if err := client.Get(ctx, "/v1/"+c.resource+c.query(), &out); err != nil {
			return err
		}
		return c.app.print(out.Rows, func(t *table) { c.fill(t, out.Rows) })
	})
}

func upstreamTable(t *table, rows []operator.Upstream) {
	t.row("ID", "KIND", "SERVICES", "FAILURE DOMAIN", "STATE", "AGE", "RUNNING", "QUEUED", "KV", "GROUP", "EPOCH", "ADMITTED")
	for _, u := range rows {
		t.row(u.ID, u.Kind, strings.Join(u.Services, ","), u.FailureDomain, u.State, formatMillis(u.AgeMS), u.Running, u.Queued,
			fmt.Sprintf("%.0f%%", 100*u.KVUse), u.Group, u.Epoch, fmt.Sprintf("%.0f%%", 100*u.Admitted))
	}
}

func groupTable(t *table, rows []operator.Group) {
	t.row("ID", "SERVICE", "FAILURE DOMAIN", "EPOCH", "PHASE", "SERVING", "MEMBERS", "REASON")
	for _, g := range rows {
		t.row(g.ID, g.Service, g.FailureDomain, g.Epoch, g.Phase, yesNo(g.Serving), strings.Join(g.Members, ","), g.Reason)
	}
}

func queueTable(t *table, rows []operator.Queue) {
	t.row("SERVICE", "ACCOUNT", "CLASS", "QUEUED", "SIZE", "RUNNING", "OLDEST", "REFUSED")
	for _, q := range rows {
		t.row(q.Service, q.Account, q.Class, q.Queued, q.Size, q.Running, formatMillis(q.OldestMS), q.Refused)
	}
}

func limitTable(t *table, rows []operator.Limit) {
	t.row("PATH", "KEY", "LIMIT", "SHARE", "USED", "OWNER", "LEASE")
	for _, l := range rows {
		t.row(l.Path, l.Key, l.Limit, l.Share, l.Used, l.Owner, formatMillis(l.LeaseMS))
	}
}

func quarantineTable(t *table, rows []operator.Quarantine) {
	t.row("DIGEST", "ACCOUNT", "SERVICE", "STATE", "CRASHES", "UNTIL")
	for _, q := range rows {
		t.row(q.Digest, q.Account, q.Service, q.State, q.Crashes, q.Until.Format(time.RFC3339))
	}
}

func peerTable(t *table, rows []operator.Peer) {
	t.row("ID", "FAILURE DOMAIN", "ROLES", "ADDRESS", "CONNECTED", "RTT", "LAST SEEN", "QUEUED", "DROPPED", "ERROR")
	for _, p := range rows {
		t.row(p.ID, p.FailureDomain, strings.Join(p.Roles, ","), p.Address, yesNo(p.Connected), fmt.Sprintf("%.2fms", p.RTTMS),
			formatMillis(p.LastSeenMS), p.Queued, p.Dropped, p.Error)
	}
}

func traceTable(t *table, rows []operator.Trace) {
	t.row("REQUEST", "START", "SERVICE", "ACCOUNT", "OUTCOME", "CODE", "SPAN", "AT", "TOOK", "PEER")
	for _, r := range rows {
		t.row(r.RequestID, r.Start.Format(time.RFC3339), r.Service, r.Account, r.Outcome, r.Code, "", "", fmt.Sprintf("%.2fms", r.DurationMS), "")
		for _, s := range r.Spans {
			t.row("", "", "", "", "", s.Error, s.Name, fmt.Sprintf("%.2fms", s.StartMS), fmt.Sprintf("%.2fms", s.DurationMS), s.Peer)
		}
	}
}

func (a *App) status(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	return a.withClient(func(ctx context.Context, client *Client) error {
		var s operator.Status
		if err := client.Get(ctx, "/v1/status", &s); err != nil {
			return err
		}
		return a.print(s, func(t *table) {
			t.row("DAEMON", "FAILURE DOMAIN", "ROLES", "READY", "DRAINING", "REVISION", "UPSTREAMS", "RUNNING", "UP")
			t.row(s.ID, s.FailureDomain, strings.Join(s.Roles, ","), yesNo(s.Ready), yesNo(s.Draining), s.Revision, s.Upstreams, s.Running,
				time.Duration(s.UptimeS*float64(time.Second)).Round(time.Second))
			t.row("LOG", "ROLE", "LEADER", "TERM", "COMMIT", "APPLIED", "ERROR")
			for _, l := range s.Logs {
				t.row(l.Log, l.Role, l.Leader, l.Term, l.Commit, l.Applied, l.Error)
			}
		})
	})
}
