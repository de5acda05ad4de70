// Command curlewbench runs one of the project's measurements: curlewbench NAME. The last line of its standard output is
// one JSON object with the figures and aims; progress goes to standard error. It exits 0 if all aims are met, 1 if one
// is missed or nothing could be measured, and 2 on a faulty command line.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"curlewmux/internal/bench"
	enginebench "curlewmux/internal/bench/engine"
	fairnessbench "curlewmux/internal/bench/fairness"
	"curlewmux/internal/bench/journal"
	ledgerbench "curlewmux/internal/bench/ledger"
	mailbench "curlewmux/internal/bench/mail"
	manybench "curlewmux/internal/bench/many"
	overloadbench "curlewmux/internal/bench/overload"
	rpcbench "curlewmux/internal/bench/rpc"
	"curlewmux/internal/bench/slices"
	keptbench "curlewmux/internal/bench/undelivered"

	"github.com/alecthomas/kong"
)

// longest is how long a measurement may take at most: those that meet this project's terms stop sooner by themselves.
const longest = 60 * time.Second

// measurements are all that there are, each in a package of its own below internal/bench.
func measurements() []bench.Measurement {
	return append([]bench.Measurement{
		enginebench.Measurement(), fairnessbench.Measurement(), journal.Measurement(), ledgerbench.Measurement(), mailbench.Measurement(),
		manybench.Measurement(), overloadbench.Measurement(), overloadbench.Refusals(), slices.Measurement(), keptbench.Measurement(),
	}, rpcbench.Measurements()...)
}

func main() {
	list := measurements()
	var cli struct {
		Name string `arg:"" help:"Which measurement to run: ${names}."`
	}
	names := ""
	for i, m := range list {
		if i > 0 {
			names += "; "
		}
		names += m.Name + " (" + m.About + ")"
	}
	kong.Parse(&cli, kong.Name("curlewbench"), kong.Vars{"names": names},
		kong.Description("Runs one of curlewmux's measurements; the last line printed is a JSON object with its figures and aims."),
		kong.Exit(func(code int) {
			if code != 0 {
				code = 2
			}
			os.Exit(code)
		}))
	for _, m := range list {
		if m.Name == cli.Name {
			os.Exit(run(m))
		}
	}
	fmt.Fprintf(os.Stderr, "curlewbench: NAME: %q is no measurement; there are: %s\n", cli.Name, names)
	os.Exit(2)
}

func run(m bench.Measurement) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	r, err := m.Run(ctx, os.Stderr)
	if err == nil {
		err = r.Write(os.Stdout, m.Name)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "curlewbench: %s: %v\n", m.Name, err)
		return 1
	}
	for _, a := range r.Aims {
		if !a.OK {
			return 1
		}
	}
	return 0
}
