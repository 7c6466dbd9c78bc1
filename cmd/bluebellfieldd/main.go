// Command bluebellfieldd runs the Bluebellfield daemon.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/internal/daemon"
	"github.com/bluebellfield/bluebellfield/internal/devmode"
)

// Exit codes.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

type options struct {
	Config string `short:"c" long:"config" value-name:"FILE" description:"settings file (JSON with comments)"`
	Check  bool   `long:"check" description:"check the settings file and exit"`
	// Instance is the settings file of an instance that finds its peers through
	// seeds and speaks the protocol of the users' platform.
	Instance string `short:"i" long:"instance" value-name:"FILE" env:"BLUEBELLFIELD_INSTANCE" description:"settings file of an instance on the users' platform (JSON with comments)"`
	Dev      bool   `long:"dev" description:"run one daemon on loopback with an embedded fake engine; callers use port 8080 and the key \"dev\""`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.Parse(); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			fmt.Println(err)
			return exitOK
		}
		return reportError(exitUsage, err)
	}
	if o.Instance != "" {
		return runInstance(&o)
	}
	cfg, cleanup, err := loadSettings(&o)
	if err != nil {
		return reportError(exitUsage, err)
	}
	defer cleanup()
	if o.Check {
		fmt.Printf("%s: accepted\n", o.Config)
		return exitOK
	}
	if err := serve(cfg, o.Dev); err != nil {
		return reportError(exitError, err)
	}
	return exitOK
}

func loadSettings(o *options) (*config.Daemon, func(), error) {
	switch {
	case o.Dev && o.Config != "":
		return nil, nil, errors.New("--dev and --config exclude each other")
	case o.Dev:
		return devmode.Settings()
	case o.Config == "":
		return nil, nil, errors.New("--config or --dev is required; see --help")
	}
	cfg, err := config.Load(o.Config)
	return cfg, func() {}, err
}

// serve runs the daemon until SIGTERM, SIGINT or a drain order and shuts it down
// gracefully. The default signal handling is restored first, so that a second
// signal terminates the process at once.
func serve(cfg *config.Daemon, dev bool) error {
	logger, err := newLogger(cfg.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.Start(cfg, daemon.Options{Logger: logger})
	if err != nil {
		return err
	}
	if dev {
		engine, err := devmode.StartEngine(cfg)
		if err != nil {
			return errors.Join(err, d.Close())
		}
		defer engine.Close()
	}
	select {
	case err := <-d.Failures():
		return errors.Join(err, d.Close())
	case <-d.DrainRequested():
	case <-ctx.Done():
	}
	stop()
	logger.Info("stopping: waiting for requests in flight; a second signal terminates the process at once")
	return d.Shutdown(context.Background())
}

func newLogger(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(parsed)
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.Sampling = nil
	return cfg.Build()
}

func reportError(code int, err error) int {
	fmt.Fprintln(os.Stderr, "bluebellfieldd:", err)
	return code
}
