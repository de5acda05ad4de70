// Package journal measures the store: what a message costs to take on while old segments are copied and while they are
// not, how long a folder takes to read, what is written for a message, and how many messages a second are synced.
package journal

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"curlewmux/engine"
	"curlewmux/internal/bench"
	store "curlewmux/internal/journal"
)

// Measurement is curlewbench journal.
func Measurement() bench.Measurement {
	return bench.Measurement{Name: "journal", About: "the store: takes during compaction, recovery, syncs", Run: run}
}

const (
	body    = 200
	samples = 40_000 // takes that are timed in each case
	each    = 1500 * time.Millisecond
)

func run(ctx context.Context, progress io.Writer) (*bench.Report, error) {
	root, err := os.MkdirTemp("", "curlewbench-journal-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(root)
	r := &bench.Report{}
	medians := map[int]float64{}
	for _, live := range []int{1000, 10_000, 100_000} {
		quiet, err := takes(ctx, filepath.Join(root, fmt.Sprint("quiet", live)), live, false, samples)
		if err != nil {
			return nil, err
		}
		busy, err := takes(ctx, filepath.Join(root, fmt.Sprint("busy", live)), live, true, samples)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(progress, "%d live: %v; while compacting: %v\n", live, quiet, busy)
		quiet.set(r, fmt.Sprintf("live_%d_quiet", live))
		busy.set(r, fmt.Sprintf("live_%d_compacting", live))
		r.Set(fmt.Sprintf("live_%d_recover_s", live), busy.recover.Seconds())
		r.Set(fmt.Sprintf("live_%d_recovered_mb", live), float64(busy.folder)/1e6)
		r.Set(fmt.Sprintf("live_%d_heap_per_message_bytes", live), busy.heap)
		r.Set(fmt.Sprintf("live_%d_written_per_message_bytes", live), busy.written)
		if ratio := busy.at(0.999) / quiet.at(0.999); ratio <= 2 {
			r.Aim(fmt.Sprintf("live_%d_p999_compacting_to_quiet", live), "<= 2", ratio)
		} else {
			r.Aim(fmt.Sprintf("live_%d_p999_compacting_ms", live), "<= 0.5", busy.at(0.999)/1000)
		}
		if live == 100_000 {
			r.Aim("recover_100000_s", "<= 1", busy.recover.Seconds())
		}
		medians[live] = busy.at(0.5)
	}
	r.Aim("p50_100000_live_to_1000", "<= 3", medians[100_000]/medians[1000])
	one, err := syncEach(ctx, filepath.Join(root, "each"))
	if err != nil {
		return nil, err
	}
	r.Set("sync_each_message_per_s", one)
	for _, clients := range []int{1, 16, 256} {
		n, err := group(ctx, filepath.Join(root, fmt.Sprint("group", clients)), clients)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(progress, "always, %d clients: %.0f messages/s, and %.0f with a sync for each\n", clients, n, one)
		r.Set(fmt.Sprintf("always_%d_clients_per_s", clients), n)
	}
	return r, ctx.Err()
}

// result is what takes cost.
type result struct {
	times   []float64 // microseconds, sorted
	spent   time.Duration
	recover time.Duration
	folder  int64   // bytes read for that
	written float64 // bytes for a message that is taken, tried and ended
	heap    float64 // bytes for a message that is live, besides its body
	copied  int     // segments removed
}

func (r *result) at(q float64) float64 {
	return r.times[min(int(q*float64(len(r.times))), len(r.times)-1)]
}

func (r *result) set(rep *bench.Report, name string) {
	rep.Set(name+"_per_s", float64(len(r.times))/r.spent.Seconds())
	rep.Set(name+"_p50_us", r.at(0.5))
	rep.Set(name+"_p99_us", r.at(0.99))
	rep.Set(name+"_p999_us", r.at(0.999))
	rep.Set(name+"_most_us", r.at(1))
	rep.Set(name+"_segments_removed", r.copied)
}

func (r *result) String() string {
	return fmt.Sprintf("p50 %.1f us, p99 %.1f, p99.9 %.1f, most %.1f", r.at(0.5), r.at(0.99), r.at(0.999), r.at(1))
}

// load hands messages in and ends any of those that are live: what is to be copied lies everywhere.
type load struct {
	j     *store.Journal
	rnd   *rand.Rand
	batch engine.Batch
	last  int
	live  []int
}

func id(i int) string { return fmt.Sprintf("message-%010d", i) }

func (l *load) put(records ...engine.Record) error {
	l.batch++
	if err := l.j.Append(l.batch, records); err != nil {
		return err
	}
	_, err := l.j.Flush()
	return err
}

func (l *load) taken() *engine.RecAccepted {
	l.last++
	l.live = append(l.live, l.last)
	return &engine.RecAccepted{
		Message: engine.Message{
			ID: id(l.last), Class: "release-upload", Tenant: "core", Destination: l.last % 100, Key: id(l.last), Body: make([]byte, body),
		},
		Deadline: engine.Timestamp(1_764_550_000_000_000),
	}
}

// rest tries the newest message and ends one of all.
func (l *load) rest() error {
	i := l.rnd.IntN(len(l.live))
	end := l.live[i]
	l.live[i] = l.live[len(l.live)-1]
	l.live = l.live[:len(l.live)-1]
	return errors.Join(
		l.put(&engine.RecAttempts{At: engine.Timestamp(1_764_550_000_000_000), List: []engine.RecAttempt{{ID: id(l.last), Zone: 1}}}),
		l.put(&engine.RecEnded{ID: id(end), Disposition: engine.Delivered}),
	)
}

// takes times single messages being taken on, each with a write of its own, while so many are live. With tight the disk is
// so small that old segments are copied all the time, else so large that they never are.
func takes(ctx context.Context, dir string, live int, tight bool, samples int) (*result, error) {
	if err := os.Mkdir(dir, 0o700); err != nil {
		return nil, err
	}
	disk := int64(4 << 30)
	if tight {
		disk = int64(live)*750 + 1<<20
	}
	d := &counting{Dir: store.OSDir(dir)}
	r := rand.New(rand.NewPCG(1, 2))
	set := store.Settings{Disk: disk, Random: r.Uint64}
	before := heap()
	j, _, err := store.Open(d, set)
	if err != nil {
		return nil, err
	}
	l := &load{j: j, rnd: r}
	for l.last < live {
		var list []engine.Record
		for range 100 {
			list = append(list, l.taken())
		}
		if err := l.put(list...); err != nil {
			return nil, errors.Join(err, j.Close())
		}
	}
	res := &result{times: make([]float64, 0, samples)}
	res.heap = float64(heap()-before)/float64(live) - body
	for n := 0; tight && d.removed == 0; n++ { // until the disk is used once
		if err := errors.Join(l.put(l.taken()), l.rest(), ctx.Err()); err != nil {
			return nil, errors.Join(err, j.Close())
		}
	}
	d.wrote, d.removed = 0, 0
	for range samples {
		m := l.taken()
		start := time.Now()
		err := l.put(m)
		spent := time.Since(start)
		if err := errors.Join(err, l.rest(), ctx.Err()); err != nil {
			return nil, errors.Join(err, j.Close())
		}
		res.times = append(res.times, float64(spent.Nanoseconds())/1000)
		res.spent += spent
	}
	slices.Sort(res.times)
	res.written, res.copied = float64(d.wrote)/float64(samples), d.removed
	if tight == (d.removed == 0) {
		return nil, errors.Join(fmt.Errorf("%d live: %d segments were removed", live, d.removed), j.Close())
	}
	if err := j.Close(); err != nil {
		return nil, err
	}
	var spent []float64
	for range 3 {
		runtime.GC()
		start := time.Now()
		j, st, err := store.Open(d, set)
		if err != nil {
			return nil, err
		}
		spent = append(spent, float64(time.Since(start)))
		n := len(st.Live)
		if err := j.Close(); err != nil || n != live {
			return nil, errors.Join(err, fmt.Errorf("%d live after a restart, want %d", n, live))
		}
	}
	res.recover = time.Duration(bench.Median(spent))
	rep, err := store.Check(store.OSDir(dir))
	if err != nil {
		return nil, err
	}
	res.folder = rep.Bytes
	return res, os.RemoveAll(dir)
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// counting counts what is written to a folder.
type counting struct {
	store.Dir
	wrote, removed int
}

func (c *counting) Remove(name string) error {
	if strings.HasSuffix(name, ".seg") {
		c.removed++
	}
	return c.Dir.Remove(name)
}

func (c *counting) Create(name string) (store.File, error) {
	f, err := c.Dir.Create(name)
	if err != nil {
		return nil, err
	}
	return &countingFile{f, c}, nil
}

type countingFile struct {
	store.File
	c *counting
}

func (f *countingFile) WriteAt(p []byte, off int64) (int, error) {
	f.c.wrote += len(p)
	return f.File.WriteAt(p, off)
}

// syncEach is how many messages a second can be written with a sync for each.
func syncEach(ctx context.Context, name string) (float64, error) {
	f, err := os.Create(name)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	n := 0
	start := time.Now()
	for ; time.Since(start) < each && ctx.Err() == nil; n++ {
		if _, err := f.Write(make([]byte, body+100)); err != nil {
			return 0, err
		}
		if err := f.Sync(); err != nil {
			return 0, err
		}
	}
	return float64(n) / time.Since(start).Seconds(), nil
}

// group is how many messages a second are taken on with SyncAlways, each of so many clients waiting for its last one to be
// stored before it hands in the next.
func group(ctx context.Context, dir string, clients int) (float64, error) {
	if err := os.Mkdir(dir, 0o700); err != nil {
		return 0, err
	}
	stored := make(chan engine.Batch, 1<<16)
	j, _, err := store.Open(store.OSDir(dir), store.Settings{
		Disk: 4 << 30, Random: rand.New(rand.NewPCG(1, 2)).Uint64, Sync: store.SyncAlways,
		Go:       func(f func()) { go f() },
		OnStored: func(b engine.Batch) { stored <- b },
	})
	if err != nil {
		return 0, err
	}
	in, stop := make(chan chan struct{}), make(chan struct{})
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			answer := make(chan struct{}, 1)
			for {
				select {
				case in <- answer:
					<-answer
				case <-stop:
					return
				}
			}
		})
	}
	l := &load{j: j}
	type waiting struct {
		batch engine.Batch
		from  chan struct{}
	}
	var open []waiting
	n := 0
	start := time.Now()
	for ok := true; ok || len(open) > 0; ok = time.Since(start) < each && ctx.Err() == nil {
		hands := in
		if !ok {
			hands = nil
		}
		select {
		case b := <-stored:
			for len(open) > 0 && open[0].batch <= b {
				open[0].from <- struct{}{}
				open = open[1:]
				n++
			}
		case c := <-hands:
			for more := true; more; { // all that wait make one round
				l.batch++
				if err := j.Append(l.batch, []engine.Record{l.taken()}); err != nil {
					return 0, err
				}
				open = append(open, waiting{l.batch, c})
				select {
				case c = <-in:
				default:
					more = false
				}
			}
			if _, err := j.Flush(); err != nil {
				return 0, err
			}
		}
	}
	spent := time.Since(start)
	close(stop)
	wg.Wait()
	return float64(n) / spent.Seconds(), j.Close()
}
