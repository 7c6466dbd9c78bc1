package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/bluebellfield/bluebellfield/internal/asynclog"
	"github.com/bluebellfield/bluebellfield/internal/control"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/instance"
	"github.com/bluebellfield/bluebellfield/platform"
)

// runInstance loads the settings of an instance on the users' platform and runs
// it, or only checks the settings with --check.
func runInstance(o *options) int {
	if o.Dev || o.Config != "" {
		return reportError(exitUsage, errors.New("--instance, --config and --dev exclude each other"))
	}
	settings, err := instance.Load(o.Instance)
	if err != nil {
		return reportError(exitUsage, err)
	}
	if o.Check {
		fmt.Printf("%s: accepted\n", o.Instance)
		return exitOK
	}
	if err := serveInstance(settings); err != nil {
		return reportError(exitError, err)
	}
	return exitOK
}

// platformAdapter returns the parts of an instance that depend on the users'
// platform.
func platformAdapter() instance.Adapter {
	return instance.Adapter{
		Decode:   platform.DecodeConfiguration,
		Protocol: platform.Protocol{},
		Orders:   func(client *upstream.Client) control.OrderSender { return &platform.Workers{Client: client} },
		Control: func(c *control.Control, logger *zap.Logger) http.Handler {
			return platform.NewControlHandler(c, logger)
		},
		Ready: platform.NewReadyHandler,
	}
}

// serveInstance runs an instance until SIGTERM or SIGINT and shuts it down
// gracefully; a second signal terminates the process at once. SIGHUP has no
// effect: of the settings only the seeds change while the process runs, and a
// running instance learns of other instances from its peers.
func serveInstance(settings *instance.Settings) error {
	level, err := zapcore.ParseLevel(settings.LogLevel)
	if err != nil {
		return err
	}
	output := asynclog.New(os.Stdout)
	logger := newAsyncLogger(level, output)
	defer func() { _ = output.Sync() }()
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	i, err := instance.Start(settings, platformAdapter(), logger)
	if err != nil {
		return err
	}
	for {
		select {
		case err := <-i.Failures():
			logger.Error("service failed", zap.Error(err))
			return errors.Join(err, i.Shutdown())
		case <-hangup:
			logger.Info("SIGHUP ignored: the settings of a running process cannot change")
		case <-stop:
			signal.Reset(syscall.SIGTERM, syscall.SIGINT)
			return i.Shutdown()
		}
	}
}

func newAsyncLogger(level zapcore.Level, output *asynclog.Writer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), output, level))
}
