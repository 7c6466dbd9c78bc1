// Package ctl implements the commands of bluebellctl. A program can add its own
// commands to App.Parser before it calls App.Run.
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
	// ExitError is the code of errors without a more specific one.
	ExitError = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitConflict means that the settings changed since the base revision.
	ExitConflict = 3
	// ExitInvalid means that the settings are invalid.
	ExitInvalid = 4
	// ExitTimeout means that --timeout expired before a server answered, or
	// before every daemon had the requested revision in force.
	ExitTimeout = 5
)

// CommandError is an error with the exit code of the process.
type CommandError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *CommandError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *CommandError) Unwrap() error { return e.Err }

func exitErrorf(code int, format string, args ...any) error {
	return &CommandError{Code: code, Err: fmt.Errorf(format, args...)}
}

// GlobalOptions holds the options that all commands share.
type GlobalOptions struct {
	Servers   []string      `long:"server" env:"BLUEBELL_SERVERS" env-delim:"," value-name:"URL" description:"operators' address of a daemon; several are tried in turn"`
	TokenFile string        `long:"token-file" env:"BLUEBELL_TOKEN_FILE" value-name:"FILE" description:"file with the operator's bearer token"`
	CAFile    string        `long:"ca-file" env:"BLUEBELL_CA_FILE" value-name:"FILE" description:"certificates that servers are checked against"`
	Output    string        `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
	Timeout   time.Duration `long:"timeout" default:"30s" description:"longest time for a command"`
}

// App parses the command line of bluebellctl and runs its commands.
type App struct {
	Global GlobalOptions
	Parser *flags.Parser
	// Out receives the results of commands, Err their error messages.
	Out, Err io.Writer
	// ctx is the context of the running command.
	ctx context.Context
	// pause waits before a request is sent to all servers again.
	pause func(ctx context.Context, d time.Duration)
	// newID generates the id of a change.
	newID func() (string, error)
}

// New returns an App with the commands of this package.
func New(out, errOut io.Writer) (*App, error) {
	a := &App{Out: out, Err: errOut, pause: sleep, newID: newChangeID}
	a.Parser = flags.NewNamedParser("bluebellctl", flags.HelpFlag|flags.PassDoubleDash)
	a.Parser.LongDescription = "Exit codes: 0 ok, 1 error, 2 usage, 3 conflict, 4 invalid, 5 timeout."
	if _, err := a.Parser.AddGroup("Options", "", &a.Global); err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	for _, add := range []func() error{a.addSettings, a.addGet, a.addOrders, a.addExplain, a.addCapacity, a.addDemo} {
		if err := add(); err != nil {
			return nil, fmt.Errorf("commands: %w", err)
		}
	}
	return a, nil
}

// JSON reports whether results are printed as JSON.
func (a *App) JSON() bool { return a.Global.Output == "json" }

// Context returns the context passed to Run. Requests to daemons have the
// additional deadline of the option --timeout.
func (a *App) Context() context.Context { return a.ctx }

// Run parses the command line, runs the command and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	a.ctx = ctx
	_, err := a.Parser.ParseArgs(args)
	if err == nil {
		return ExitOK
	}
	var parseErr *flags.Error
	if errors.As(err, &parseErr) {
		if parseErr.Type == flags.ErrHelp {
			fmt.Fprintln(a.Out, parseErr.Message)
			return ExitOK
		}
		fmt.Fprintln(a.Err, "bluebellctl:", parseErr.Message)
		return ExitUsage
	}
	fmt.Fprintln(a.Err, "bluebellctl:", err)
	var commandErr *CommandError
	switch {
	case errors.As(err, &commandErr):
		return commandErr.Code
	case errors.Is(err, context.DeadlineExceeded):
		return ExitTimeout
	}
	return ExitError
}

// client returns a client for the servers given on the command line.
func (a *App) client() (*Client, error) {
	if len(a.Global.Servers) == 0 {
		return nil, exitErrorf(ExitUsage, "no server: set --server or BLUEBELL_SERVERS")
	}
	token := ""
	if a.Global.TokenFile != "" {
		data, err := os.ReadFile(a.Global.TokenFile)
		if err != nil {
			return nil, fmt.Errorf("read token file: %w", err)
		}
		token = strings.TrimSpace(string(data))
	}
	return NewClient(ClientOptions{Servers: a.Global.Servers, Token: token, CAFile: a.Global.CAFile, Pause: a.pause})
}

// withClient calls do with a client and a context with the deadline of --timeout.
func (a *App) withClient(do func(ctx context.Context, c *Client) error) error {
	return a.withClientTimeout(a.Global.Timeout, do)
}

func (a *App) withClientTimeout(timeout time.Duration, do func(ctx context.Context, c *Client) error) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(a.ctx, timeout)
	defer cancel()
	return do(ctx, c)
}

// commandFunc adapts a function to flags.Commander.
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
		return exitErrorf(ExitUsage, "unexpected argument %q", args[0])
	}
	return nil
}
