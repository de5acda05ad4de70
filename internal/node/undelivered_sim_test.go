package node

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"curlewmux/internal/redeliver"
	"curlewmux/internal/standin/archive"
	"curlewmux/internal/vnet"
	"curlewmux/undelivered"
)

var undeliveredSeeds = flag.Int("kept-seeds", 100, "number of simulations of a dispatcher that keeps undelivered messages")

// injectMixedFaults makes calls and inquiries fail at random. Calls have each outcome, with and without effect; calls that
// the dispatcher has abandoned may run for another 4 s.
func injectMixedFaults(s *undeliveredSim, random *rand.Rand, calm *bool, closed map[string]bool) {
	s.archive.Script = func(items []archive.Item, _ bool) archive.Act {
		if *calm {
			return archive.Act{}
		}
		noEffect := random.IntN(2) == 0
		delay := time.Duration(random.IntN(4000)) * time.Millisecond
		switch random.IntN(12) {
		case 0:
			return archive.Act{Status: 500, NoEffect: noEffect} // error
		case 1:
			return archive.Act{Status: 503, NoEffect: true} // full
		case 2:
			return archive.Act{Status: 429, NoEffect: true, Wait: time.Duration(random.IntN(900)) * time.Millisecond} // wait
		case 3:
			return archive.Act{Status: 504, NoEffect: true} // moot
		case 4:
			return archive.Act{Drop: true, NoEffect: noEffect} // reset
		case 5, 6:
			return archive.Act{Hang: true, NoEffect: noEffect}
		case 7:
			return archive.Act{Hang: true, After: delay} // runs after the call was abandoned
		case 8:
			return archive.Act{Status: 500, After: delay}
		case 9:
			if random.IntN(8) == 0 {
				closed[string(items[0].Body)] = true
				return archive.Act{Status: 410, NoEffect: true}
			}
			return archive.Act{Delay: delay}
		}
		return archive.Act{}
	}
	s.archive.Answers = func([]string, string) archive.Lie {
		if *calm {
			return archive.Lie{}
		}
		switch random.IntN(8) {
		case 0:
			return archive.Lie{Hang: true}
		case 1:
			return archive.Lie{Status: 500}
		case 2:
			return archive.Lie{Raw: "{\"effect\":"}
		case 3:
			return archive.Lie{Status: 503, Wait: time.Second}
		case 4:
			return archive.Lie{Late: 1500 * time.Millisecond}
		}
		return archive.Lie{}
	}
}

// simulationCount returns how many of n simulations to run: a quarter with the race detector, which is ten times as slow.
func simulationCount(n int) uint64 {
	if raceOn {
		return uint64(n+3) / 4
	}
	return uint64(n)
}

// Uploads fail in different ways, the process is killed and stopped, and the uploads are resent by rule and by hand,
// sometimes by both at once. Each must take effect at the archive exactly once.
func TestEachUploadTakesEffectOnceOnASimulatedMachine(t *testing.T) {
	t.Parallel()
	var sum struct{ uploads, kept, ruled, handed, lost, doubted, kills, losses, took, again, scrapes int }
	for seed := range simulationCount(*undeliveredSeeds) {
		s := newUndeliveredSim(t, seed)
		s.checkInterval = time.Second
		s.monitor = &ledgerMonitor{t: t, name: fmt.Sprint("seed ", seed), sim: s.World, machine: s.mux, node: func() *Node { return s.node }}
		random := rand.New(rand.NewPCG(seed, 14))
		calm, closed := false, map[string]bool{}
		injectMixedFaults(s, random, &calm, closed)
		powerFailures := seed%3 == 2 // power failures instead of some kills, with sync = "always"
		if powerFailures {
			s.sync = "always"
			s.mux.SlowDisk(vnet.DiskTimes{Sync: 3 * time.Millisecond})
		}
		s.boot()
		var list []*upload
		for n := range 8 {
			u := &upload{class: "unsafe", body: fmt.Sprintf("upload %d", n), expires: time.Duration(500+random.IntN(3000)) * time.Millisecond}
			list = append(list, u)
			s.After(time.Duration(random.IntN(3000))*time.Millisecond, func() { s.submitUntilDone(u, fmt.Sprintf("u%d", n)) })
		}
		end := 40 * time.Second
		var interrupt, operate func()
		interrupt = func() {
			if s.Now() > end || s.mux.Process() == nil {
				return
			}
			switch {
			case powerFailures && random.IntN(2) == 0:
				s.mux.Lose()
				s.monitor.powerFailures++
				sum.losses++
			case random.IntN(4) == 0:
				s.node.Stop()
			default:
				s.mux.Kill()
				sum.kills++
			}
			var restart func()
			restart = func() {
				if s.mux.Process() != nil {
					s.After(100*time.Millisecond, restart)
					return
				}
				s.boot()
				s.After(time.Duration(200+random.IntN(8000))*time.Millisecond, interrupt)
			}
			s.After(time.Duration(10+random.IntN(600))*time.Millisecond, restart)
		}
		operate = func() {
			if s.Now() > end {
				return
			}
			if n := s.node; s.mux.Process() != nil && n.undelivered != nil && n.undelivered.redelivery != nil {
				number := uint64(random.IntN(4))
				n.driver.Do(func() {
					n.undelivered.store.Each(0, func(e undelivered.Summary) bool {
						if e.State == undelivered.Ended || random.IntN(3) > 0 {
							return true
						}
						number = e.Number
						return false
					})
					for range 1 + random.IntN(2) { // one or two operators at once
						out := n.undelivered.redelivery.ResendManually(number, redeliver.ManualAction{Operator: "ana", Reason: "seen", Token: fmt.Sprint(random.IntN(50))})
						if out.Status == redeliver.StatusClaimedByOther {
							sum.lost++
						}
					}
					n.undelivered.redelivery.ScheduleWake()
				})
			}
			s.After(time.Duration(random.IntN(2500))*time.Millisecond, operate)
		}
		s.After(time.Duration(500+random.IntN(5000))*time.Millisecond, interrupt)
		s.After(2*time.Second, operate)
		s.After(end, func() { calm = true })
		settled := func() bool {
			if s.Now() < end+time.Second {
				return false
			}
			for _, u := range list {
				if !closed[u.body] && (!u.done || s.archive.Effect(u.body) == 0 && !u.inDoubt) {
					return false
				}
			}
			for _, e := range s.entries() {
				if e.State != undelivered.Ended {
					return false
				}
			}
			return true
		}
		s.diagnose = func() (out string) {
			for _, u := range list {
				out += fmt.Sprintf("\n%s: ids %v, done %v, unsure %v, over %v, %d effects", u.body, u.ids, u.done, u.inDoubt, closed[u.body], s.archive.Effect(u.body))
				for _, id := range u.ids {
					out += fmt.Sprintf("; %s answered %d, notice %q", id, s.codes[id], s.notices[id])
				}
			}
			return out
		}
		s.runUntil(2*time.Hour, fmt.Sprintf("seed %d: all is delivered", seed), settled)
		for _, u := range list {
			n := s.archive.Effect(u.body)
			if n > 1 || n == 0 && !u.inDoubt && !closed[u.body] {
				t.Errorf("seed %d: %s took effect %d times", seed, u.body, n)
			}
			sum.uploads++
		}
		s.checkLedger(&sum.again)
		sum.scrapes += s.monitor.scrapes
		for id := range s.notices {
			if strings.HasPrefix(id, "r") {
				t.Errorf("seed %d: a notice of %s, which no client knows", seed, id)
			}
		}
		for _, e := range s.entries() {
			sum.kept++
			if e.Disposition == undelivered.EndTookEffect {
				sum.took++
			}
			for _, ev := range e.History {
				switch {
				case ev.Claim == nil:
				case ev.Claim.Manual:
					sum.handed++
				default:
					sum.ruled++
				}
			}
			for _, l := range e.Submissions {
				if l.DoubtAt != 0 {
					sum.doubted++
				}
			}
		}
		if t.Failed() {
			t.Logf("store: %s", s.states())
			s.Close()
			return
		}
		s.Close()
	}
	t.Logf("%+v", sum)
	if simulationCount(*undeliveredSeeds) >= 100 && (sum.kept < sum.uploads/4 || sum.ruled == 0 || sum.handed == 0 || sum.lost == 0 || sum.doubted == 0 || sum.took == 0 || sum.kills == 0 || sum.losses == 0 || sum.again == 0 || sum.scrapes == 0) {
		t.Error("not every kind of event occurred")
	}
}
