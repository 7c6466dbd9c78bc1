package crashreport

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

const (
	// probeTimeout limits the check whether a process accepts connections.
	// Connections within a region open within a few milliseconds.
	probeTimeout = 150 * time.Millisecond
	// maxWitnesses is the number of other processes of a kind that are probed to
	// tell a crash from a cut. Some of them may be down as well.
	maxWitnesses = 3
)

// Prober checks connections.
type Prober interface {
	// Listening reports whether a process accepts connections at an address.
	// Without an answer it returns an error.
	Listening(ctx context.Context, address string) (bool, error)
}

// Detector tells whether an upstream that broke its connections has ended. A cut
// may break and refuse connections too, so that another process of the same
// failure domain, a witness, must accept one.
type Detector struct {
	Prober Prober
	Logger *zap.Logger
}

// Refuses reports whether an address refuses connections. A silent one does not.
func (d *Detector) Refuses(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	listening, err := d.Prober.Listening(ctx, address)
	if err != nil {
		d.Logger.Debug("address not probed", zap.String("address", address), zap.Error(err))
	}
	return !listening
}

// AnyAccepts reports whether a witness accepts connections. Up to maxWitnesses of
// each kind are probed at once. It changes the order of the lists.
func (d *Detector) AnyAccepts(ctx context.Context, kinds ...[]string) bool {
	var witnesses []string
	for _, kind := range kinds {
		rand.Shuffle(len(kind), func(i, j int) { kind[i], kind[j] = kind[j], kind[i] })
		witnesses = append(witnesses, kind[:min(len(kind), maxWitnesses)]...)
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	accepted := make(chan bool, len(witnesses))
	for _, address := range witnesses {
		go func() {
			listening, err := d.Prober.Listening(ctx, address)
			accepted <- listening && err == nil
		}()
	}
	for range witnesses {
		if <-accepted {
			return true
		}
	}
	return false
}
