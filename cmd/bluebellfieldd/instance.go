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

// runInstance runs an instance on the users' platform.
func runInstance(o *options) int {
	if o.Dev || o.Config != "" {
		return fail(exitUsage, errors.New("--instance, --config and --dev exclude each other"))
	}
	settings, err := instance.Load(o.Instance)
	if err != nil {
		return fail(exitUsage, err)
	}
	if o.Check {
		fmt.Printf("%s: accepted\n", o.Instance)
		return exitOK
	}
	if err := serveInstance(settings); err != nil {
		return fail(exitError, err)
	}
	return exitOK
}

// platformAdapter joins the product to the users' platform.
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

// serveInstance runs until a signal has stopped the process. A second signal
// ends it at once. A hangup has no effect: what changes in the settings of a
// running process, the seeds, it has learned from its peers.
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
			logger.Info("reload: settings of a running process do not change")
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
