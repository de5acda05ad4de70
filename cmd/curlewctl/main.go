// Command curlewctl is for the operators of a dispatcher. It exits 0 if all is well, 1 if it found damage or could not do
// what it was asked for, and 2 on a faulty command line.
package main

import (
	"errors"
	"fmt"
	"os"

	"curlewmux/internal/cli"
	"curlewmux/internal/journal"

	"github.com/alecthomas/kong"
)

type commands struct {
	Journal struct {
		Check journalCheck `cmd:"" help:"Reads a dispatcher's folder and tells of segments, room and damage."`
		Show  journalShow  `cmd:"" help:"The same, with a line for each message that is live."`
	} `cmd:"" help:"The journal of a dispatcher. The folder is not changed, and may be in use."`
	Undelivered undeliveredCmd `cmd:"" help:"Messages that could not be delivered: by the dispatcher that runs on a folder, or, without one, read only."`
	Ledger      ledgerCmd      `cmd:"" help:"Figures that add up: of a running dispatcher, of a folder, or of files."`
	Top         topCmd         `cmd:"" help:"Rates, what is open and what is held where, of a running dispatcher: a table on a terminal, else a line a look."`
	Completion  cli.Completion `cmd:"" help:"Print a script that completes this command line."`
}

type journalCheck struct {
	Folder string `arg:"" help:"The dispatcher's folder that lasts."`
}

func (c *journalCheck) Run() error { return report(c.Folder, false) }

type journalShow struct {
	Folder string `arg:"" help:"The dispatcher's folder that lasts."`
}

func (c *journalShow) Run() error { return report(c.Folder, true) }

func report(folder string, messages bool) error {
	r, err := journal.Check(journal.OSDir(folder))
	if err != nil {
		return err
	}
	if err := r.Print(os.Stdout, messages); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if !r.Findings.OK() {
		return fmt.Errorf("%s: the journal is damaged", folder)
	}
	return nil
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("curlewctl"), kong.Description("Looks after a curlewmux dispatcher."),
		kong.Exit(func(code int) {
			if code != 0 {
				code = 2
			}
			os.Exit(code)
		}))
	if err := ctx.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "curlewctl: %v\n", err)
		if bad := usageError(""); errors.As(err, &bad) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

// usageError is a fault of the command line that shows only when it is carried out.
type usageError string

func (e usageError) Error() string { return string(e) }
