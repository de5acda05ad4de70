// Package ledgerbench measures what the ledger costs: CPU per message of the whole daemon, memory of an account, the
// longest part of a sweep, and a recovery.
package ledgerbench

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"curlewmux/internal/bench"
	"curlewmux/internal/bench/rig"
	"curlewmux/internal/standin/discovery"
	"curlewmux/ledger"
)

// Measurement is what curlewbench offers as "ledger".
func Measurement() bench.Measurement {
	return bench.Measurement{
		Name:  "ledger",
		About: "the ledger's CPU per message, bytes per account, longest part of a sweep, and recovery",
		Run: func(ctx context.Context, progress io.Writer) (*bench.Report, error) {
			r := &bench.Report{}
			accounts(r)
			for _, part := range []func(context.Context, io.Writer, *bench.Report) error{sweeps, recoveries, daemons} {
				if err := part(ctx, progress, r); err != nil {
					return nil, fmt.Errorf("ledger: %w", err)
				}
			}
			return r, nil
		},
	}
}

func round(v float64) float64 { return float64(int64(v*1000+0.5)) / 1000 }

func key(n int) ledger.Key {
	return ledger.Key{Class: fmt.Sprint("class-", n%4), Destination: n / 4, Tenant: "core"}
}

func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// accounts measures the memory of an account, and its leaf.
func accounts(r *bench.Report) {
	const count = 10_000
	before := heap()
	l, err := ledger.New(ledger.Settings{MaxAccounts: count}, ledger.NewEpoch(1, 1, ledger.ReasonNoLedger, ""))
	if err != nil {
		panic(err) // the settings are this package's own
	}
	for n := range count {
		l.Post(l.Account(key(n)), ledger.Accepted)
	}
	leaf := 0
	for !l.WriteLeaves(1000, func(f ledger.Leaf) { leaf += len(f.Text) }) {
	}
	r.Set("account_bytes", round((heap()-before)/count))
	r.Set("account_leaf_bytes", round(float64(leaf)/count))
	runtime.KeepAlive(l)
}

const (
	pairs    = 120 // turns of both daemons
	messages = 400 // in a turn
	conns    = 8
	dests    = 8
)

// daemons measures CPU time per message of a daemon with a ledger and of one without. Both run, and get the same messages
// in turns: what else the machine does meets both.
func daemons(ctx context.Context, progress io.Writer, r *bench.Report) error {
	dir, err := os.MkdirTemp("", "curlewbench-ledger-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	program, err := rig.Build(ctx, dir)
	if err != nil {
		return err
	}
	cores, err := rig.Split()
	if err != nil {
		return err
	}
	file := filepath.Join(dir, "operator.toml")
	if err := os.WriteFile(file, []byte("[ledger]\n"), 0o600); err != nil {
		return err
	}
	var both [2]*daemon // without, with
	for i, operator := range []string{"", file} {
		if both[i], err = start(ctx, cores, program, filepath.Join(dir, fmt.Sprint(i)), operator); err != nil {
			return err
		}
		defer both[i].close()
	}
	var cost [2][]float64
	var ratio []float64
	for n := range pairs {
		if n%10 == 0 {
			fmt.Fprintf(progress, "ledger: daemons, turn %d of %d\n", n+1, pairs)
		}
		for i := range both {
			which := (i + n) % 2 // who is first changes
			us, err := both[which].turn(ctx)
			if err != nil {
				return err
			}
			cost[which] = append(cost[which], us)
		}
		ratio = append(ratio, cost[1][n]/cost[0][n])
	}
	for i, name := range []string{"without", "with"} {
		now, most, err := both[i].Memory()
		if err != nil {
			return err
		}
		r.Set("daemon_"+name+"_resident_mb", round(float64(now)/1e6))
		r.Set("daemon_"+name+"_resident_most_mb", round(float64(most)/1e6))
		r.Set("daemon_"+name+"_cpu_per_message_us", round(bench.Median(cost[i])))
	}
	r.Aim("CPU per message with the ledger against without (median of 120 turns)", "<= 1.03", round(bench.Median(ratio)))
	r.Set("daemon_ratio_quartiles", fmt.Sprint(round(ratio[pairs/4]), " to ", round(ratio[pairs*3/4])))
	return nil
}

// daemon is one with its partners.
type daemon struct {
	*rig.Daemon
	agent *discovery.Agent
	p     *rig.Partners
	next  atomic.Int64
	first int
}

func start(ctx context.Context, cores *rig.Cores, program, dir, operator string) (*daemon, error) {
	agent, err := discovery.Start()
	if err != nil {
		return nil, err
	}
	d := &daemon{agent: agent, p: rig.NewPartners((pairs+1)*messages+conns, 0)}
	var members []discovery.Member
	for dest := range dests {
		addr, err := d.p.Endpoint(dest)
		if err != nil {
			return nil, err
		}
		members = append(members, discovery.Member{
			ID: fmt.Sprint("e", dest), HostPort: addr, Locality: "east", Flavor: "hooks", Cell: dest, Phase: "active", Size: 100_000,
		})
	}
	agent.Tell(members...)
	d.Daemon, err = cores.Start(ctx, program, dir, rig.Options{
		Discovery: agent.Addr(), Slots: 32, MaxOpen: 20_000, Sockets: 512, MemoryMB: 64, DiskMB: 16, Operator: operator,
	})
	return d, err
}

func (d *daemon) close() {
	d.Kill()
	d.p.Close()
	d.agent.Close()
}

// turn hands messages in, waits until all are delivered, and returns the daemon's CPU time for each, in microseconds.
func (d *daemon) turn(ctx context.Context) (us float64, err error) {
	begun := d.used()
	end := d.first + messages
	var all sync.WaitGroup
	d.next.Store(int64(d.first))
	for range conns {
		all.Go(func() {
			c := rig.NewClient(d.Addr, 200)
			defer c.Close()
			for ctx.Err() == nil {
				n := int(d.next.Add(1)) - 1
				if n >= end {
					return
				}
				for ctx.Err() == nil {
					if status, _ := c.Submit([]string{"free", "keyed"}[n%2], n, n/2%dests, 30*time.Second); status == 202 {
						break
					}
					time.Sleep(5 * time.Millisecond)
				}
			}
		})
	}
	all.Wait()
	for ; d.first < end; d.first++ { // all that was taken must have been delivered: that is part of the cost
		for d.p.At(d.first).IsZero() {
			select {
			case <-time.After(2 * time.Millisecond):
			case <-ctx.Done():
				return 0, fmt.Errorf("message %d was not delivered: %w", d.first, ctx.Err())
			}
		}
	}
	return float64((d.used() - begun).Nanoseconds()) / 1e3 / messages, ctx.Err()
}

// used is the CPU time of all threads of the daemon, to the nanosecond (proc(5), /proc/pid/task/*/schedstat).
func (d *daemon) used() (sum time.Duration) {
	list, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", d.PID()))
	for _, name := range list {
		text, _ := os.ReadFile(name) // a thread that has ended is left out: the runtime keeps its own
		if f := strings.Fields(string(text)); len(f) > 0 {
			ns, _ := strconv.ParseInt(f[0], 10, 64)
			sum += time.Duration(ns)
		}
	}
	return sum
}
