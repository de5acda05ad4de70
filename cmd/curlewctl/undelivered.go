package main

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"curlewmux/internal/admin"
	"curlewmux/internal/journal"
	"curlewmux/internal/redeliver"
	"curlewmux/undelivered"
)

// undeliveredCmd are the commands about messages that could not be delivered.
type undeliveredCmd struct {
	List   keptList   `cmd:"" help:"Lists kept messages, one a line."`
	Show   keptShow   `cmd:"" help:"Shows all that is known of kept messages, as JSON: attempts, doubt, who did what and why."`
	Resend keptResend `cmd:"" help:"Has kept messages sent again. One that may have taken effect needs proof, or --vouch."`
	Drop   keptDrop   `cmd:"" help:"Gives kept messages up for good. Their history stays for a while."`
	Export keptExport `cmd:"" help:"Writes kept messages with their bodies (Base64), a line of JSON for each."`
}

// where is the folder, and who is asked.
type where struct {
	Folder string `arg:"" help:"The dispatcher's folder that lasts."`
	Socket string `help:"Name of the socket in the folder." default:"curlewmux.sock"`
}

// which says which messages are meant.
type which struct {
	Numbers []uint64 `arg:"" optional:"" help:"Numbers of entries; none: all that the flags below fit."`
	ID      []string `help:"Ids, of any life."`
	Class   []string `help:"Classes."`
	Tenant  []string `help:"Tenants."`
	Dest    []int    `help:"Destinations."`
	Cause   []string `help:"Why the newest life was given up: time, tries, doubt, never, class, crowds."`
	State   []string `help:"waiting, held, claimed, away, ended, damaged, refused; all but ended and refused by default." enum:"waiting,held,claimed,away,ended,damaged,refused"`
	Doubt   string   `help:"only or none: those that may have taken effect, or those that did not."`
	Older   time.Duration
	Younger time.Duration
	Limit   int  `help:"So many at most."`
	All     bool `help:"All that are kept: resend and drop need it where nothing else says which."`
}

func (w *which) filter() redeliver.Filter {
	f := redeliver.Filter{
		Numbers: w.Numbers, IDs: w.ID, Classes: w.Class, Tenants: w.Tenant, Destinations: w.Dest, Causes: w.Cause, Doubt: w.Doubt,
		OlderSeconds: int64(w.Older.Seconds()), YoungerSeconds: int64(w.Younger.Seconds()), Limit: w.Limit, All: w.All,
	}
	for _, s := range w.State {
		f.States = append(f.States, undelivered.State(s))
	}
	return f
}

// who says who wants something done, and why.
type who struct {
	By    string `help:"Your name; the user's by default."`
	Why   string `required:"" help:"The reason, which is kept."`
	Token string `help:"The command's token, as it was printed: given again with it, what was done is not done twice."`
	Dry   bool   `name:"dry-run" help:"Only tells what would be done."`
}

type keptList struct {
	where
	which
	JSON bool `name:"json" help:"One object of JSON a line."`
}

type keptShow struct {
	where
	which
}

type keptResend struct {
	where
	which
	who
	Vouch bool `help:"You say, by your name and with your reason, that these took no effect."`
	Wait  bool `help:"Waits until they are sent, or back in the store."`
	JSON  bool `name:"json" help:"One object of JSON a line."`
}

type keptDrop struct {
	where
	which
	who
	JSON bool `name:"json" help:"One object of JSON a line."`
}

type keptExport struct {
	where
	which
	Output string `short:"o" help:"The file to write, which must not be there; standard output by default."`
}

// ask asks the dispatcher of the folder, or reads the folder itself where none runs and the command changes nothing.
func (w *where) ask(r *redeliver.Request, line func(*redeliver.Reply) error) error {
	err := admin.Call(filepath.Join(w.Folder, w.Socket), r, func(text json.RawMessage) error {
		var l redeliver.Reply
		if err := json.Unmarshal(text, &l); err != nil {
			return fmt.Errorf("the dispatcher's answer: %w", err)
		}
		return line(&l)
	})
	if !errors.Is(err, admin.ErrGone) {
		return err
	}
	if r.Command == "resend" || r.Command == "drop" {
		return fmt.Errorf("%w: only a dispatcher that runs can do this", err)
	}
	if info, statErr := os.Stat(w.Folder); statErr != nil || !info.IsDir() {
		return errors.Join(fmt.Errorf("%s is no folder", w.Folder), statErr)
	}
	return redeliver.ReplyFromFolder(journal.OSDir(w.Folder), r, line)
}

// asJSON prints each line as it is.
func asJSON(out io.Writer) func(*redeliver.Reply) error {
	enc := json.NewEncoder(out)
	return func(l *redeliver.Reply) error { return enc.Encode(l) }
}

func (c *keptList) Run() error {
	r := &redeliver.Request{Command: "list", Filter: c.filter()}
	if c.JSON {
		return c.ask(r, asJSON(os.Stdout))
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NUMBER\tKEPT\tSTATE\tCLASS\tTENANT\tDEST\tBYTES\tTRIES\tCAUSE\tDOUBT\tID\tOUTLOOK")
	var sum *redeliver.Reply
	err := c.ask(r, func(l *redeliver.Reply) error {
		switch {
		case l.Entry != nil:
			e := l.Entry
			doubt := "-"
			if e.Doubt {
				doubt = "may have run"
			}
			look := e.Outlook
			if e.Disposition != "" {
				look = e.Disposition
			}
			fmt.Fprintf(t, "%d\t%s\t%s\t%q\t%q\t%d\t%d\t%d\t%s\t%s\t%q\t%s\n", e.Number, e.KeptAt.UTC().Format(time.DateTime), e.State, e.Class,
				e.Tenant, e.Destination, e.Bytes, e.Resends, e.Cause, doubt, e.ID, look)
		case l.Refused != nil:
			h := l.Refused
			fmt.Fprintf(t, "-\t%s\trefused\t%q\t%q\t%d\t-\t%d\t%s\t-\t%q\tits client may hand it in again\n", h.At.UTC().Format(time.DateTime),
				h.Class, h.Tenant, h.Destination, h.Attempts, h.Cause, h.ID)
		case l.Summary != nil:
			sum = l
		}
		return nil
	})
	if err := errors.Join(err, t.Flush()); err != nil {
		return err
	}
	return summary(os.Stdout, sum)
}

// summary prints the last line of an answer.
func summary(w io.Writer, l *redeliver.Reply) error {
	if l == nil {
		return nil
	}
	names := make([]string, 0, len(l.Summary))
	for name := range l.Summary {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if _, err := fmt.Fprintf(w, "%s: %d\n", name, l.Summary[name]); err != nil {
			return err
		}
	}
	for _, name := range []string{"being_sent", "disk_bytes", "since_start"} {
		if v, ok := l.Counts[name]; ok {
			if _, err := fmt.Fprintf(w, "%s: %s\n", name, v); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *keptShow) Run() error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return c.ask(&redeliver.Request{Command: "show", Filter: c.filter()}, func(l *redeliver.Reply) error {
		if l.Details != nil {
			return enc.Encode(l.Details)
		}
		return nil
	})
}

func (c *keptResend) Run() error {
	r := &redeliver.Request{Command: "resend", Filter: c.filter(), ConfirmedNoEffect: c.Vouch, Wait: c.Wait}
	return c.who.order(&c.where, r, c.JSON)
}

func (c *keptDrop) Run() error {
	return c.who.order(&c.where, &redeliver.Request{Command: "drop", Filter: c.filter()}, c.JSON)
}

// order gives a command that changes something. It fails where part of it was not done.
func (w *who) order(at *where, r *redeliver.Request, raw bool) error {
	r.By, r.Why, r.Token, r.DryRun = w.By, w.Why, w.Token, w.Dry
	if r.By == "" {
		me, err := user.Current()
		if err != nil {
			return fmt.Errorf("--by: %w", err)
		}
		r.By = me.Username
	}
	if r.Token == "" {
		r.Token = rand.Text()
	}
	if !w.Dry {
		fmt.Fprintf(os.Stderr, "curlewctl: should the answer get lost, give this command again with --token %s\n", r.Token)
	}
	left := 0
	print := asJSON(os.Stdout)
	err := at.ask(r, func(l *redeliver.Reply) error {
		if o := l.Result; o != nil {
			switch o.Status {
			case redeliver.StatusClaimedByOther, redeliver.StatusRefused, redeliver.StatusAlreadyEnded, redeliver.StatusNotFound:
				left++
			}
		}
		if raw {
			return print(l)
		}
		switch {
		case l.Result != nil:
			o := l.Result
			fmt.Printf("%d: %s", o.Number, o.Status)
			if o.Claim != 0 {
				fmt.Printf(", claim %d", o.Claim)
			}
			if o.Reason != "" {
				fmt.Printf(": %s", o.Reason)
			}
			fmt.Println()
		case l.Progress != nil && l.Progress.InFlight > 0:
			fmt.Fprintf(os.Stderr, "%d of %d are through\n", l.Progress.Done, l.Progress.Total)
		case l.Progress != nil && l.Progress.Total > 1:
			fmt.Fprintf(os.Stderr, "%d of %d\n", l.Progress.Done, l.Progress.Total)
		}
		return summary(os.Stdout, &redeliver.Reply{Summary: l.Summary})
	})
	if err != nil {
		return err
	}
	if left > 0 {
		return fmt.Errorf("%d of them: nothing was done", left)
	}
	return nil
}

func (c *keptExport) Run() error {
	out := os.Stdout
	if c.Output != "" {
		f, err := os.OpenFile(c.Output, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		out = f
	}
	enc, n := json.NewEncoder(out), 0
	err := c.ask(&redeliver.Request{Command: "export", Filter: c.filter()}, func(l *redeliver.Reply) error {
		if l.Details == nil {
			return nil
		}
		n++
		return enc.Encode(l.Details)
	})
	if c.Output != "" {
		err = errors.Join(err, out.Close())
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "%d messages\n", n)
	return nil
}
