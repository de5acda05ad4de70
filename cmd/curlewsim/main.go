// Command curlewsim runs simulated farms from seeds and checks the six rules on each: see docs/operators/simulation.md.
package main

import (
	"bufio"
	"cmp"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"curlewmux/internal/sim"
)

const usage = `curlewsim runs whole farms of dispatchers on a virtual clock, with faults drawn from a seed, and checks the six rules.

  curlewsim run -seeds 1:10000 [-jobs N] [-break NAME]   many seeds; the last line counts them
  curlewsim run -seed N [-trace] [-break NAME]           one seed; -trace writes all that happens, and its SHA-256 last
  curlewsim run -script FILE [-trace] [-break NAME]      a saved script of faults
  curlewsim run -break NAME                              seeds from 1 on until that break is caught, at most 2000
  curlewsim shrink -seed N [-break NAME] [-o FILE]       the smallest script that still fails, saved as FILE
  curlewsim breaks                                       the rules that can be broken on purpose

It exits with 0 if no rule was broken, with 1 if one was, with 2 if it could not run.
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, progress io.Writer) int {
	debug.SetGCPercent(800) // worlds are small and soon gone
	w := bufio.NewWriterSize(out, 64<<10)
	defer w.Flush()
	if len(args) == 0 {
		fmt.Fprint(progress, usage)
		return 2
	}
	var code int
	var err error
	switch args[0] {
	case "run":
		code, err = runSeeds(args[1:], w, progress)
	case "shrink":
		code, err = shrink(args[1:], w, progress)
	case "breaks":
		for _, b := range sim.Breaks() {
			fmt.Fprintf(w, "%-26s %-42s %s\n", b.Name, b.Rule, b.About)
		}
	case "help", "-h", "-help", "--help":
		fmt.Fprint(w, usage)
	default:
		err = fmt.Errorf("%s is no command", args[0])
	}
	switch {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprint(w, usage)
		return 0
	case err != nil:
		fmt.Fprintf(progress, "curlewsim: %v\n\n%s", err, usage)
		return 2
	}
	return code
}

// options are the flags of run and shrink.
type options struct {
	seed, seeds, script, name, file string
	jobs                            int
	trace, hash, coverage           bool
}

func (o *options) parse(args []string, shrinks bool) (sim.Options, error) {
	var opt sim.Options
	set := flag.NewFlagSet("curlewsim", flag.ContinueOnError)
	set.SetOutput(io.Discard)
	set.StringVar(&o.seed, "seed", "", "one seed")
	set.StringVar(&o.name, "break", "", "what is broken on purpose")
	if shrinks {
		set.StringVar(&o.file, "o", "", "file that the script is saved in")
	} else {
		set.StringVar(&o.seeds, "seeds", "", "first:last")
		set.StringVar(&o.script, "script", "", "file with a script of faults")
		set.IntVar(&o.jobs, "jobs", runtime.GOMAXPROCS(0), "worlds at a time")
		set.BoolVar(&o.trace, "trace", false, "write all that happens")
		set.BoolVar(&o.hash, "hash", false, "write the SHA-256 of each seed's trace")
		set.BoolVar(&opt.Memory, "memory", false, "check what idle dispatchers keep in memory; one world at a time")
		set.BoolVar(&o.coverage, "coverage", false, "write how often each thing came up")
	}
	if err := set.Parse(args); err != nil {
		return opt, err
	}
	if set.NArg() > 0 {
		return opt, fmt.Errorf("%q is not expected", set.Arg(0))
	}
	if o.jobs < 1 && !shrinks {
		return opt, fmt.Errorf("-jobs %d is out of range", o.jobs)
	}
	if opt.Memory {
		o.jobs = 1
	}
	opt.Watchdog = time.Minute
	opt.Hash = o.trace || o.hash
	if o.name != "" {
		i := slices.IndexFunc(sim.Breaks(), func(b sim.Break) bool { return b.Name == o.name })
		if i < 0 {
			return opt, fmt.Errorf("-break %s: curlewsim breaks lists those that there are", o.name)
		}
		opt.Break = sim.Breaks()[i]
	}
	return opt, nil
}

func number(flag, text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s %q is not a seed", flag, text)
	}
	return n, nil
}

// replay is the command that runs a seed again.
func (o *options) replay(seed uint64) string {
	if o.script != "" {
		return fmt.Sprintf("curlewsim run -script %s%s", o.script, o.breaks())
	}
	return fmt.Sprintf("curlewsim run -seed %d%s", seed, o.breaks())
}

func (o *options) breaks() string {
	if o.name == "" {
		return ""
	}
	return " -break " + o.name
}

func runSeeds(args []string, w *bufio.Writer, progress io.Writer) (int, error) {
	var o options
	opt, err := o.parse(args, false)
	if err != nil {
		return 2, err
	}
	first, last := uint64(1), uint64(0)
	until := false // a break is caught
	switch {
	case o.script != "":
		text, err := os.ReadFile(o.script)
		if err != nil {
			return 2, err
		}
		if opt.Script, err = sim.ParseScript(string(text)); err != nil {
			return 2, fmt.Errorf("%s: %w", o.script, err)
		}
		first, last = opt.Script.Seed, opt.Script.Seed
	case o.seed != "":
		if first, err = number("-seed", o.seed); err != nil {
			return 2, err
		}
		last = first
	case o.seeds != "":
		a, b, ok := strings.Cut(o.seeds, ":")
		if !ok {
			return 2, fmt.Errorf("-seeds %q: want first:last", o.seeds)
		}
		if first, err = number("-seeds", a); err != nil {
			return 2, err
		}
		if last, err = number("-seeds", b); err != nil {
			return 2, err
		}
		if last < first {
			return 2, fmt.Errorf("-seeds %q: the last is before the first", o.seeds)
		}
	case o.name != "":
		last, until = 2000, true
	default:
		return 2, errors.New("run wants -seeds, -seed, -script or -break")
	}
	if o.trace {
		if first != last {
			return 2, errors.New("-trace is for one seed")
		}
		opt.Trace = w
	}
	begun, told := time.Now(), time.Now()
	s := sim.RunSeeds(first, last, o.jobs, opt, func(r *sim.Result) bool {
		if o.hash {
			fmt.Fprintf(w, "%d %x\n", r.Seed, r.Sum)
		}
		for _, v := range r.Violations {
			if !until || v.Rule == opt.Break.Rule {
				fmt.Fprintf(w, "seed %d: %v\n", r.Seed, v)
			}
		}
		if len(r.Violations) > 0 && !until {
			fmt.Fprintf(w, "  again: %s\n", o.replay(r.Seed))
		}
		if time.Since(told) > 5*time.Second {
			told = time.Now()
			fmt.Fprintf(progress, "seed %d of %d:%d, %.1f seeds/s\n", r.Seed, first, last, float64(r.Seed-first+1)/time.Since(begun).Seconds())
		}
		return !until || !slices.ContainsFunc(r.Violations, func(v sim.Violation) bool { return v.Rule == opt.Break.Rule })
	})
	took := time.Since(begun)
	if until && len(s.Failed) > 0 {
		fmt.Fprintf(w, "  again: %s\n", o.replay(s.Failed[len(s.Failed)-1].Seed))
	}
	if first == last && len(s.Failed) == 1 {
		fmt.Fprintf(w, "%s", s.Failed[0].Script)
	}
	if o.coverage {
		var names []string
		for k := range s.Coverage {
			names = append(names, k)
		}
		slices.SortFunc(names, cmp.Compare)
		for _, k := range names {
			fmt.Fprintf(w, "%8d %s\n", s.Coverage[k], k)
		}
	}
	if first != last {
		fmt.Fprintln(w, s.Mean())
		fmt.Fprintf(w, "%.1f seeds/s with %d at a time; virtual time is %.0f times the real one\n",
			float64(s.Seeds)/took.Seconds(), o.jobs, s.Virtual.Seconds()/took.Seconds())
	}
	if o.trace {
		fmt.Fprintf(w, "seeds %d violations %d seconds %.1f\n", s.Seeds, s.Violations, took.Seconds())
		fmt.Fprintf(w, "%x\n", s.Sum)
	} else {
		fmt.Fprintf(w, "seeds %d violations %d seconds %.1f\n", s.Seeds, s.Violations, took.Seconds())
	}
	if s.Violations > 0 {
		return 1, nil
	}
	return 0, nil
}

func shrink(args []string, w *bufio.Writer, progress io.Writer) (int, error) {
	var o options
	opt, err := o.parse(args, true)
	if err != nil {
		return 2, err
	}
	seed, err := number("-seed", o.seed)
	if err != nil {
		return 2, err
	}
	r := sim.Run(seed, opt)
	if len(r.Violations) == 0 {
		fmt.Fprintf(w, "seed %d breaks no rule\n", seed)
		return 0, nil
	}
	v := r.Violations[0]
	fmt.Fprintf(progress, "%v\n%d steps; shrinking\n", v, len(r.Script.Steps))
	small, tries := sim.Shrink(r.Script, v.Rule, opt, 400)
	if o.file == "" {
		o.file = fmt.Sprintf("seed-%d.script", seed)
	}
	text := fmt.Sprintf("# %s: %s\n# again: curlewsim run -script %s%s\n%s", v.Rule, v.Text, o.file, o.breaks(), small)
	if err := os.WriteFile(o.file, []byte(text), 0o644); err != nil {
		return 2, err
	}
	fmt.Fprintf(w, "%s%d of %d steps after %d runs, saved in %s\n", small, len(small.Steps), len(r.Script.Steps), tries, o.file)
	return 1, nil
}
