package manybench

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"curlewmux/internal/bench"
	daemonrig "curlewmux/internal/bench/rig"
	"curlewmux/internal/standin/discovery"
)

const (
	daemonRate  = 2000 // messages a second, over all destinations
	daemonWarm  = 2500 * time.Millisecond
	daemonTime  = 3 * time.Second
	daemonConns = 32
	daemonAim   = "<= 1.3" // CPU for a message at 1,000 destinations over that at 10
)

// daemons measures the whole daemon on real sockets with few destinations and with many, two endpoints each, at one rate.
func daemons(ctx context.Context, progress io.Writer, r *bench.Report) error {
	dir, err := os.MkdirTemp("", "curlewbench-scale-")
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	defer os.RemoveAll(dir)
	program, err := daemonrig.Build(ctx, dir)
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	cores, err := daemonrig.Split()
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	var cost []float64
	for _, n := range []int{10, 100, 1000} {
		fmt.Fprintf(progress, "scale: the daemon with %d destinations\n", n)
		each, err := daemonWith(ctx, r, cores, program, filepath.Join(dir, fmt.Sprint(n)), n)
		if err != nil {
			return fmt.Errorf("daemon, %d destinations: %w", n, err)
		}
		cost = append(cost, each)
	}
	r.Aim("the daemon's CPU for a message at 1,000 destinations over that at 10", daemonAim, round(cost[2]/cost[0]))
	return nil
}

func daemonWith(ctx context.Context, r *bench.Report, cores *daemonrig.Cores, program, dir string, dests int) (each float64, err error) {
	const most = 1 << 15
	partners := daemonrig.NewPartners(most, 5*time.Millisecond)
	defer partners.Close()
	agent, err := discovery.Start()
	if err != nil {
		return 0, err
	}
	defer agent.Close()
	var list []discovery.Member
	for dest := range dests {
		for n := range 2 {
			addr, err := partners.Endpoint(dest)
			if err != nil {
				return 0, err
			}
			list = append(list, discovery.Member{
				ID: fmt.Sprintf("e%d-%d", dest, n), HostPort: addr, Locality: "east", Flavor: "hooks", Cell: dest, Phase: discovery.Active,
			})
		}
	}
	agent.Tell(list...)
	d, err := cores.Start(ctx, program, dir, daemonrig.Options{
		Discovery: agent.Addr(), Slots: 500, MaxOpen: 20_000, Sockets: 16_384, MemoryMB: 512, DiskMB: 100,
	})
	if err != nil {
		return 0, err
	}
	defer d.Kill()
	answered := make([]time.Time, most)
	var next atomic.Int64
	play := func(span time.Duration) (refused int64) {
		var all sync.WaitGroup
		var no atomic.Int64
		until := time.Now().Add(span)
		for range daemonConns {
			all.Go(func() {
				c := daemonrig.NewClient(d.Addr, 200)
				defer c.Close()
				for at := time.Now(); at.Before(until); at = at.Add(daemonConns * time.Second / daemonRate) {
					time.Sleep(time.Until(at)) // the pace of its messages
					i := int(next.Add(1)) - 1
					if i >= most {
						return
					}
					if status, _ := c.Submit("free", i, i*7919%dests, 10*time.Second); status == 202 {
						answered[i] = time.Now()
					} else {
						no.Add(1)
					}
				}
			})
		}
		all.Wait()
		return no.Load()
	}
	play(daemonWarm) // connections are up by then
	before, err := d.CPU()
	if err != nil {
		return 0, err
	}
	first := int(next.Load())
	refused := play(daemonTime)
	last := min(int(next.Load()), most)
	for limit := time.Now().Add(2 * time.Second); time.Now().Before(limit) && partners.At(last-1).IsZero(); {
		time.Sleep(5 * time.Millisecond) // the last ones are under way
	}
	after, err := d.CPU()
	if err != nil {
		return 0, err
	}
	var lags spans
	for i := first; i < last; i++ {
		if at := partners.At(i); !at.IsZero() && !answered[i].IsZero() {
			lags = append(lags, max(at.Sub(answered[i]), 0))
		}
	}
	if len(lags) == 0 {
		return 0, fmt.Errorf("none of %d messages was delivered, %d were refused", last-first, refused)
	}
	now, _, err := d.Memory()
	if err != nil {
		return 0, err
	}
	each = (after - before).Seconds() * 1e6 / float64(len(lags))
	set := func(name string, v float64) { r.Set(fmt.Sprintf("daemon_%d_%s", dests, name), v) }
	set("cpu_per_message_us", round(each))
	set("p99_ms", ms(lags.at(0.99)))
	set("memory_mb", round(float64(now)/(1<<20)))
	set("delivered", float64(len(lags)))
	set("refused", float64(refused))
	set("conns", float64(partners.Conns.Load()))
	return each, nil
}
