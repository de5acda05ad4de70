// Command curlewmux-agent serves dispatchers on this machine with the list of endpoints: it reads EndpointSlices, a fixed
// list and a partner list, as the operator's file says, and speaks discovery's own protocol on a loopback address.
// Dispatchers are pointed at it by EDGE_DISCOVERY or `discovery`. It exits 2 on a faulty command line or file, naming the
// setting, 1 on another fault, and 0 after SIGTERM. On SIGHUP it reads the file again; a faulty one changes nothing.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"curlewmux/internal/agent"
	"curlewmux/internal/operator"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitFailed = 1
	exitConfig = 2
)

func main() {
	var cli struct {
		Operator string `required:"" placeholder:"FILE" help:"Operator's file; deploy/operator.example.toml shows all."`
		Check    bool   `help:"Check the file and end."`
	}
	kong.Parse(&cli, kong.Name("curlewmux-agent"),
		kong.Description("Serves the endpoints of EndpointSlices, a fixed list and a partner list in discovery's protocol."),
		kong.Exit(func(code int) {
			if code != 0 {
				code = exitConfig
			}
			os.Exit(code)
		}))
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	os.Exit(run(cli.Operator, cli.Check, log))
}

func run(path string, check bool, log *slog.Logger) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	set, err := operator.Read(path)
	if err != nil {
		log.Error("can't start", "error", err)
		return exitConfig
	}
	a, err := agent.New(set, os.Getenv, log)
	if err != nil {
		log.Error("can't start", "error", err)
		return exitConfig
	}
	if check {
		return 0
	}
	reloads := make(chan *operator.File)
	go func() {
		for range hups {
			next, err := operator.Read(path)
			if err != nil {
				log.Error("the file can't be reloaded; what is in force stays", "error", err)
				continue
			}
			reloads <- next
		}
	}()
	if err := a.Run(ctx, reloads); err != nil {
		log.Error("stopped", "error", err)
		return exitFailed
	}
	return 0
}
