package overloadbench

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"curlewmux/internal/bench"
	"curlewmux/internal/bench/rig"
)

// Refusals is what curlewbench offers as "refusals".
func Refusals() bench.Measurement {
	return bench.Measurement{
		Name:  "refusals",
		About: "partners that turn calls away at random, beside one with a limit just below what comes",
		Run:   runRefusals,
	}
}

const (
	refuseTime = 12 * time.Second // a share that is cut again and again shows only after some seconds
	limitRate  = 90.0             // calls a second that the partner with a limit takes ...
	limitBurst = 9.0              // ... and so many at once
	limitCome  = 100.0            // messages a second that come for it

	deliveredAim = ">= 0.99"
	p99Aim       = "<= 200"
	overAim      = "<= 2"
)

// moody is a partner: how many messages a second come for it, and which share of its calls it turns away.
type moody struct{ rate, share float64 }

func moods() (all []moody) {
	for _, rate := range []float64{10, 100, 1000} {
		for _, share := range []float64{0.01, 0.02, 0.05, 0.08, 0.1} {
			all = append(all, moody{rate, share})
		}
	}
	return append(all, moody{limitCome, 0})
}

// limiter is a limit: a token bucket.
type limiter struct {
	mu    sync.Mutex
	level float64
	at    time.Time
	over  int
}

func (l *limiter) takes(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.level = min(limitBurst, l.level+now.Sub(l.at).Seconds()*limitRate)
	l.at = now
	if l.level < 1 {
		l.over++
		return false
	}
	l.level--
	return true
}

func runRefusals(ctx context.Context, progress io.Writer) (*bench.Report, error) {
	b, dir, err := prepare(ctx)
	if err != nil {
		return nil, fmt.Errorf("refusals: %w", err)
	}
	defer os.RemoveAll(dir)
	kinds := moods()
	w, err := b.world(ctx, filepath.Join(dir, "random"), hold{100_000, 500}, len(kinds))
	if err != nil {
		return nil, fmt.Errorf("refusals: %w", err)
	}
	defer w.close()
	limit := &limiter{level: limitBurst, at: time.Now()}
	w.partners.Answer = func(dest, message int) (int, time.Duration) {
		if dest == len(kinds) {
			if !limit.takes(time.Now()) {
				return 503, 0
			}
			return 200, partner
		}
		h := fnv.New32a()
		fmt.Fprint(h, message, " ", w.partners.Tries(message))
		if float64(h.Sum32()%1000)/1000 < kinds[dest-1].share {
			return 503, 0
		}
		return 200, partner
	}
	fmt.Fprintf(progress, "refusals: %d partners for %v\n", len(kinds), refuseTime)
	of := w.hand(kinds, time.Now().Add(refuseTime))
	w.drain(ctx)
	r := &bench.Report{}
	for d, k := range kinds {
		var lags []time.Duration
		taken, tries := 0, 0
		for _, i := range of[d] {
			if w.records[i].status != 202 {
				continue
			}
			taken++
			tries += w.partners.Tries(i)
			if effect := w.partners.At(i); !effect.IsZero() && effect.Before(w.records[i].sent.Add(expires)) {
				lags = append(lags, effect.Sub(w.records[i].sent))
			}
		}
		if taken == 0 {
			return nil, fmt.Errorf("refusals: none of %d messages was taken", len(of[d]))
		}
		delivered := round(float64(len(lags)) / float64(taken))
		each := round(float64(tries) / float64(max(len(lags), 1)))
		if d == len(kinds)-1 {
			r.Set("limit_delivered", delivered)
			r.Aim(fmt.Sprintf("a limit of %g for %g messages a second: refusals a second", limitRate, limitCome), overAim,
				round(float64(limit.over)/refuseTime.Seconds()))
			continue
		}
		name := fmt.Sprintf("%g messages a second, %g percent turned away: ", k.rate, 100*k.share)
		r.Aim(name+"delivered", deliveredAim, delivered)
		r.Aim(name+"p99, ms", p99Aim, ms(at(lags, 0.99)))
		r.Set(fmt.Sprintf("random_%g_%g_p50_ms", k.rate, 100*k.share), ms(at(lags, 0.5)))
		r.Set(fmt.Sprintf("random_%g_%g_attempts", k.rate, 100*k.share), each)
	}
	return r, nil
}

// hand hands messages in for each partner at its rate until a time, and returns which were for whom.
func (w *world) hand(kinds []moody, until time.Time) [][]int {
	of := make([][]int, len(kinds))
	var all sync.WaitGroup
	var mu sync.Mutex
	for d, k := range kinds {
		clients := 1 + int(k.rate)/50
		for n := range clients {
			all.Go(func() {
				c := rig.NewClient(w.daemon.Addr, bodySize)
				defer c.Close()
				every := time.Duration(float64(clients) / k.rate * 1e9)
				for next := time.Now().Add(every * time.Duration(n) / time.Duration(clients)); next.Before(until); next = next.Add(every) {
					time.Sleep(time.Until(next)) // the pace of its messages
					i := int(w.next.Add(1)) - 1
					w.records[i].sent = time.Now()
					w.records[i].status, _ = c.Submit("free", i, 1+d, expires)
					mu.Lock()
					of[d] = append(of[d], i)
					mu.Unlock()
				}
			})
		}
	}
	all.Wait()
	return of
}
