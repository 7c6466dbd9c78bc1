package daemon

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/edge/caller"
	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/quarantine"
)

// Guards against taking a cut or a planned exit for crashes: the requests that were
// in flight behind a cut, or that were when leases ended, are not to blame. Each of
// them would have to run in isolation.
func TestCutIsNoCrash(t *testing.T) {
	const daemonOfB = "vb:1"
	broken := func(p *pickerTest, c *choice) {
		c.Finish(caller.Result{Broken: true, Err: errors.New("reset")})
	}
	brokenWhenDraining := func(p *pickerTest, c *choice) {
		p.reportFrom("b", "u1", 1, membership.Draining, membership.GroupRef{})
		broken(p, c)
	}
	leaseLost := func(p *pickerTest, c *choice) {
		p.crashes.onEvents([]membership.Event{{Kind: membership.Lost, ID: c.target.Upstream, Incarnation: c.target.Incarnation}})
	}
	cases := []struct {
		name      string
		event     func(*pickerTest, *choice)
		addresses map[string]dialResult
		want      bool
	}{
		{"broken, the upstream refuses, another accepts", broken, map[string]dialResult{"u2:1": accepting}, true},
		{"broken, only a daemon of the domain is left", broken, map[string]dialResult{daemonOfB: accepting}, true},
		{"broken, the whole domain refuses", broken, nil, false},
		{"broken, the whole domain is silent", broken, map[string]dialResult{"u1:1": silent, "u2:1": silent, daemonOfB: silent}, false},
		{"broken, the upstream is silent, another accepts", broken, map[string]dialResult{"u1:1": silent, "u2:1": accepting}, false},
		{"broken by an upstream that leaves, another accepts", brokenWhenDraining, map[string]dialResult{"u2:1": accepting}, false},
		{"lease lost, another accepts", leaseLost, map[string]dialResult{"u1:1": silent, "u2:1": accepting}, true},
		{"lease lost, the whole domain is silent", leaseLost, map[string]dialResult{"u1:1": silent, "u2:1": silent, daemonOfB: silent}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPickerTest(t)
				for _, id := range []string{"u1", "u2"} {
					p.reportFrom("b", id, 1, membership.Ready, membership.GroupRef{})
				}
				p.publish(time.Now())
				c := p.mustPick(t, pickRequest("wash", 1), "u2")
				p.addresses = test.addresses
				test.event(p, c)
				time.Sleep(2 * connectTimeout)
				require.Equal(t, test.want, p.crashes.tracker.KnownCrash(quarantine.Target{Upstream: "u1", Incarnation: 1}))
			})
		})
	}
}
