// Command bluebellctl is the command line tool for operators of Bluebellfield.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/bluebellfield/bluebellfield/internal/bench/experiments"
	"github.com/bluebellfield/bluebellfield/internal/ctl"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app, err := ctl.New(os.Stdout, os.Stderr)
	if err == nil {
		err = experiments.Register(app)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "bluebellctl:", err)
		return ctl.ExitError
	}
	return app.Run(ctx, os.Args[1:])
}
