// Package ctl holds the commands of bluebellctl. Programs add commands of
// their own to App.Parser before App.Run.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

// Exit codes of bluebellctl.
const (
	ExitOK = 0
	// ExitError covers everything that has no code of its own.
	ExitError = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitConflict means that the settings changed since the base revision.
	ExitConflict = 3
	// ExitInvalid means that settings are not valid.
	ExitInvalid = 4
	// ExitTimeout means that the time was over before the answer, or before
	// every daemon had a revision.
	ExitTimeout = 5
)

// ExitStatus is an error that states the exit code.
type ExitStatus struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitStatus) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitStatus) Unwrap() error { return e.Err }

func exit(code int, format string, args ...any) error {
	return &ExitStatus{Code: code, Err: fmt.Errorf(format, args...)}
}

// Global holds the options of all commands.
type Global struct {
	Servers   []string      `long:"server" env:"BLUEBELL_SERVERS" env-delim:"," value-name:"URL" description:"operators' address of a daemon; several are tried in turn"`
	TokenFile string        `long:"token-file" env:"BLUEBELL_TOKEN_FILE" value-name:"FILE" description:"file with the operator's bearer token"`
	CAFile    string        `long:"ca-file" env:"BLUEBELL_CA_FILE" value-name:"FILE" description:"certificates that servers are checked against"`
	Output    string        `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
	Timeout   time.Duration `long:"timeout" default:"30s" description:"longest time for a command"`
}

// App is the command line of bluebellctl.
type App struct {
	Global Global
	Parser *flags.Parser
	// Out receives results, Err messages.
	Out, Err io.Writer
	// ctx bounds the command that runs.
	ctx context.Context
	// pause waits between rounds over the servers.
	pause func(ctx context.Context, d time.Duration)
	// newID returns the id of a change.
	newID func() (string, error)
}

// New returns the command line with the commands of this package.
func New(out, errOut io.Writer) (*App, error) {
	a := &App{Out: out, Err: errOut, pause: sleep, newID: newChangeID}
	a.Parser = flags.NewNamedParser("bluebellctl", flags.HelpFlag|flags.PassDoubleDash)
	a.Parser.LongDescription = "Exit codes: 0 ok, 1 error, 2 usage, 3 conflict, 4 invalid, 5 timeout."
	if _, err := a.Parser.AddGroup("Options", "", &a.Global); err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	for _, add := range []func() error{a.addSettings, a.addGet, a.addOrders, a.addExplain, a.addDemo} {
		if err := add(); err != nil {
			return nil, fmt.Errorf("commands: %w", err)
		}
	}
	return a, nil
}

// JSON reports whether results are printed as JSON.
func (a *App) JSON() bool { return a.Global.Output == "json" }

// Context is the context of the running command. It ends with the context of
// Run; requests to daemons also end after the option --timeout.
func (a *App) Context() context.Context { return a.ctx }

// Run parses the command line, runs the command and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	a.ctx = ctx
	_, err := a.Parser.ParseArgs(args)
	if err == nil {
		return ExitOK
	}
	var parse *flags.Error
	if errors.As(err, &parse) {
		if parse.Type == flags.ErrHelp {
			fmt.Fprintln(a.Out, parse.Message)
			return ExitOK
		}
		fmt.Fprintln(a.Err, "bluebellctl:", parse.Message)
		return ExitUsage
	}
	fmt.Fprintln(a.Err, "bluebellctl:", err)
	var status *ExitStatus
	switch {
	case errors.As(err, &status):
		return status.Code
	case errors.Is(err, context.DeadlineExceeded):
		return ExitTimeout
	}
	return ExitError
}

// client returns a client for the servers of the command line.
func (a *App) client() (*Client, error) {
	if len(a.Global.Servers) == 0 {
		return nil, exit(ExitUsage, "no server: give --server or BLUEBELL_SERVERS")
	}
	token := ""
	if a.Global.TokenFile != "" {
		data, err := os.ReadFile(a.Global.TokenFile)
		if err != nil {
			return nil, fmt.Errorf("read the token: %w", err)
		}
		token = strings.TrimSpace(string(data))
	}
	return NewClient(ClientOptions{Servers: a.Global.Servers, Token: token, CAFile: a.Global.CAFile, Pause: a.pause})
}

// command runs do with a client and a context that ends after --timeout.
func (a *App) command(do func(ctx context.Context, c *Client) error) error {
	return a.commandWithin(a.Global.Timeout, do)
}

func (a *App) commandWithin(timeout time.Duration, do func(ctx context.Context, c *Client) error) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(a.ctx, timeout)
	defer cancel()
	return do(ctx, c)
}

// commandFunc makes a function a command of the parser.
type commandFunc func(args []string) error

// Execute implements flags.Commander.
func (f commandFunc) Execute(args []string) error { return f(args) }

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func noArguments(args []string) error {
	if len(args) > 0 {
		return exit(ExitUsage, "unexpected argument %q", args[0])
	}
	return nil
}
