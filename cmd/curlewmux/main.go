// Command curlewmux is a dispatcher: it takes messages from clients and delivers them to the endpoints of their
// destinations, as the decision module says. Without arguments it runs, configured by the EDGE environment variables;
// curlewmux demo shows one at work on this machine alone, and curlewmux check tells what would be in force.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"curlewmux/internal/demo"
	"curlewmux/internal/node"
	"curlewmux/internal/operator"
)

// Exit codes.
const (
	exitFailed = 1 // any fault but those below; of the demo, also a broken rule
	exitUsage  = 2 // a wrong command line, naming the flag
	exitConfig = 2 // a faulty configuration, naming the setting
)

func main() {
	do := parse(os.Args[1:])
	os.Exit(do()) // by now nothing holds the command line's model, which a dispatcher would carry for as long as it runs
}

// showDemo runs the demo.
func showDemo(asJSON bool) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	report, err := demo.Run(ctx, demo.Messages, os.Stderr)
	if err == nil && asJSON {
		err = json.NewEncoder(os.Stdout).Encode(report)
	} else if err == nil {
		err = report.Write(os.Stdout)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "curlewmux demo: %v\n", err)
		return exitFailed
	}
	if !report.OK() {
		return exitFailed
	}
	return 0
}

// check tells what would be in force, or what is at fault.
func check(settings string, asJSON bool) int {
	report, err := node.Check(os.Getenv, settings)
	if err != nil {
		fmt.Fprintf(os.Stderr, "curlewmux check: %v\n", err)
		return exitConfig
	}
	if asJSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		err = enc.Encode(report)
	} else {
		err = report.Write(os.Stdout)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "curlewmux check: %v\n", err)
		return exitFailed
	}
	return 0
}

// reread reads the configuration and, if there is one, the operator's file again.
func reread(settings string) (*node.Config, error) {
	next, err := node.RereadConfig(os.Getenv)
	if err != nil || settings == "" {
		return next, err
	}
	file, err := operator.Read(settings)
	if err != nil {
		return nil, fmt.Errorf("--operator: %w", err)
	}
	return next, next.ReapplyOperatorFile(file)
}

// start reads the operator's file and runs a dispatcher; settings is the file's name, "" for none.
func start(settings string) int {
	file := &operator.File{}
	if settings != "" {
		var err error
		if file, err = operator.Read(settings); err != nil {
			return wrong("curlewmux", fmt.Errorf("--operator: %w", err))
		}
	}
	return run(file, settings, node.NewLog(os.Stderr, file.Log))
}

// run runs a dispatcher until SIGTERM.
func run(file *operator.File, settings string, log *slog.Logger) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hups := make(chan os.Signal, 1) // from the first moment on: a signal that nobody waits for ends the program
	signal.Notify(hups, syscall.SIGHUP)
	cfg, err := node.ReadConfig(os.Getenv)
	if err == nil {
		err = cfg.ApplyOperatorFile(file)
	}
	if err != nil {
		log.Error("can't start", "error", err)
		return exitConfig
	}
	if now, err := node.RereadConfig(os.Getenv); err == nil && now.Discovery != cfg.Discovery {
		log.Warn("EDGE_DISCOVERY differs from the file", "variable", cfg.Discovery, "file", now.Discovery)
	}
	debug.SetMemoryLimit(cfg.Memory * 6 / 10)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	reloads := make(chan *node.Config)
	go func() {
		for range hups {
			next, err := reread(settings)
			if err != nil {
				log.Error("the configuration can't be reloaded; the one in force stays", "error", err)
				continue
			}
			reloads <- next
		}
	}()
	if err := node.Run(ctx, cfg, reloads, log); err != nil {
		log.Error("stopped", "error", err)
		return exitFailed
	}
	return 0
}
