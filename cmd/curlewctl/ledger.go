package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"curlewmux/internal/admin"
	"curlewmux/internal/figures"
	"curlewmux/internal/figures/exporter"
	"curlewmux/internal/journal"
	"curlewmux/ledger"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/prometheus/common/expfmt"
)

// ledgerCmd are the commands about the books.
type ledgerCmd struct {
	Show    ledgerShow    `cmd:"" help:"Shows all accounts, the epoch and the breaches on record."`
	Check   ledgerCheck   `cmd:"" help:"Tells whether all figures add up now, and exits 1 if not."`
	Diff    ledgerDiff    `cmd:"" help:"Tells what changed between two snapshots of one dispatcher, the older first, and exits 1 if a figure stepped back within an epoch."`
	Sum     ledgerSum     `cmd:"" help:"Adds snapshots of several dispatchers up, and tells what epochs that are over and machines that are lost leave open."`
	Metrics ledgerMetrics `cmd:"" help:"Prints all figures in the OpenMetrics text format, or serves them."`
}

// books is where a ledger is.
type books struct {
	Where  string `arg:"" help:"The dispatcher's folder that lasts, or a file that show --json has printed; - is standard input."`
	Socket string `help:"Name of the socket in the folder." default:"curlewmux.sock"`
}

// cut reads a snapshot: of the dispatcher that runs on a folder, of the folder where none does, or of a file.
func (b *books) cut() (*ledger.Snapshot, error) {
	if b.Where == "-" {
		return ledger.ReadSnapshot(os.Stdin)
	}
	info, err := os.Stat(b.Where)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return readFile(b.Where)
	}
	var s *ledger.Snapshot
	err = b.ask(figures.CommandLedger, func(text json.RawMessage) (err error) {
		s, err = ledger.ReadSnapshot(strings.NewReader(string(text)))
		return err
	})
	switch {
	case errors.Is(err, admin.ErrGone):
		if s, err = figures.ReadFolder(journal.OSDir(b.Where)); err != nil {
			return nil, fmt.Errorf("%s: %w", b.Where, err)
		}
	case err == nil && s == nil:
		err = errors.New("the dispatcher's answer is empty")
	}
	return s, err
}

func (b *books) ask(command string, line func(json.RawMessage) error) error {
	return admin.Call(filepath.Join(b.Where, b.Socket), &figures.Request{Command: command}, line)
}

func readFile(name string) (*ledger.Snapshot, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	s, err := ledger.ReadSnapshot(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return s, nil
}

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}

// micros is a wall time for people.
func micros(at int64) string { return time.UnixMicro(at).UTC().Format("2006-01-02T15:04:05.000Z") }

func account(k ledger.Key) string {
	if k.Other {
		return "other\t\t"
	}
	return fmt.Sprintf("%q\t%d\t%q", k.Class, k.Destination, k.Tenant)
}

// accounts prints accounts and their total, without the columns in which all is 0.
func accounts(w io.Writer, lines []ledger.AccountCounts, total *ledger.Counts) error {
	var names []string
	used := map[string]bool{}
	total.Each(func(name string, v ledger.Count, _ bool) { names = append(names, name) })
	for i := range lines {
		lines[i].Counts.Each(func(name string, v ledger.Count, _ bool) { used[name] = used[name] || v != 0 })
	}
	for _, name := range []string{"taken", "served", "refused", "failed", "open"} {
		used[name] = true
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "CLASS\tDEST\tTENANT")
	for _, name := range names {
		if used[name] {
			fmt.Fprint(t, "\t", strings.ToUpper(name))
		}
	}
	row := func(name string, f *ledger.Counts) {
		fmt.Fprint(t, "\n", name)
		f.Each(func(name string, v ledger.Count, _ bool) {
			if used[name] {
				fmt.Fprintf(t, "\t%d", v)
			}
		})
	}
	for i := range lines {
		row(account(lines[i].Key), &lines[i].Counts)
	}
	row("total\t\t", total)
	fmt.Fprintln(t)
	return t.Flush()
}

func breach(w io.Writer, b *ledger.Breach) {
	name := "all"
	if b.Key != (ledger.Key{}) {
		name = fmt.Sprintf("%q", b.Key.String())
	}
	fmt.Fprintf(w, "BREACH %s of %s: %d in the books, %d counted, since %s", b.Check, name, b.Booked, b.Counted, micros(b.FoundAt))
	if b.ResolvedAt != 0 {
		fmt.Fprintf(w, ", healed %s", micros(b.ResolvedAt))
	}
	fmt.Fprintln(w)
}

type ledgerShow struct {
	books
	JSON bool `name:"json" help:"The snapshot as one line of JSON; figures are strings of digits."`
}

func (c *ledgerShow) Run() error {
	s, err := c.cut()
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s)
	}
	if err := accounts(os.Stdout, s.Accounts, &s.Total); err != nil {
		return err
	}
	fmt.Printf("dispatcher %q at %s\nepoch %s since %s: %s\n", s.Instance, micros(s.Wall), s.Epoch.ID, micros(s.Epoch.Began), s.Epoch.Reason)
	if s.Epoch.Previous != "" {
		fmt.Printf("behind epoch %s\n", s.Epoch.Previous)
	}
	if s.Provisional {
		fmt.Println("provisional: the store does not have all of this, and a crash may take some back")
	}
	for i := range s.Breaches {
		breach(os.Stdout, &s.Breaches[i])
	}
	if s.MoreBreaches > 0 {
		fmt.Printf("and %d breaches more\n", s.MoreBreaches)
	}
	return nil
}

type ledgerCheck struct {
	books
	JSON bool `name:"json" help:"The breaches that stand, as one line of JSON."`
}

func (c *ledgerCheck) Run() error {
	s, err := c.cut()
	if err != nil {
		return err
	}
	list := s.Check()
	if c.JSON {
		err = printJSON(append([]ledger.Breach{}, list...))
	} else {
		for i := range list {
			breach(os.Stdout, &list[i])
		}
		if len(list) == 0 {
			_, err = fmt.Printf("%d accounts add up: %d taken or brought, %d open\n", len(s.Accounts), s.Total.Accepted+s.Total.CarriedOver, s.Total.Open)
		}
	}
	if err == nil && len(list) > 0 {
		err = fmt.Errorf("%s: %d figures do not add up", c.Where, len(list))
	}
	return err
}

type ledgerDiff struct {
	Older string `arg:"" help:"A snapshot as show --json prints it."`
	Newer string `arg:"" help:"A later one of the same dispatcher."`
	JSON  bool   `name:"json" help:"One line of JSON."`
}

func (c *ledgerDiff) Run() error {
	a, err := readFile(c.Older)
	if err != nil {
		return err
	}
	b, err := readFile(c.Newer)
	if err != nil {
		return err
	}
	d, err := ledger.Diff(a, b)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(d); err != nil {
			return err
		}
	} else if err := c.print(d); err != nil {
		return err
	}
	if len(d.Decreases) > 0 && !d.OlderProvisional {
		return fmt.Errorf("%d figures stepped back within epoch %s", len(d.Decreases), d.Epochs[0].ID)
	}
	return nil
}

func (c *ledgerDiff) print(d *ledger.Difference) error {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CLASS\tDEST\tTENANT\tFIGURE\tBEFORE\tAFTER\tCHANGE")
	for _, change := range append(d.Changes, d.Total) {
		name := "total\t\t"
		if change.Key != (ledger.Key{}) {
			name = account(change.Key)
		}
		before := map[string]ledger.Count{}
		change.Before.Each(func(figure string, v ledger.Count, _ bool) { before[figure] = v })
		change.After.Each(func(figure string, v ledger.Count, _ bool) {
			if was := before[figure]; v > was {
				fmt.Fprintf(t, "%s\t%s\t%d\t%d\t+%d\n", name, figure, was, v, v-was)
			} else if v < was {
				fmt.Fprintf(t, "%s\t%s\t%d\t%d\t-%d\n", name, figure, was, v, was-v)
			}
		})
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Printf("%v between them\n", time.Duration(d.Elapsed)*time.Microsecond)
	if d.EpochChanged {
		fmt.Printf("epoch %s ended and %s began: %s\n", d.Epochs[0].ID, d.Epochs[1].ID, d.Epochs[1].Reason)
	}
	for _, b := range d.Decreases {
		fmt.Printf("BACK %q %s: %d, before it was %d\n", b.Key.String(), b.Counter, b.After, b.Before)
	}
	if len(d.Decreases) > 0 && d.OlderProvisional {
		fmt.Println("the older one was provisional: a crash may have taken these back")
	}
	return nil
}

type ledgerSum struct {
	Files []string `arg:"" help:"Snapshots as show --json prints them, several of one dispatcher among them."`
	Lost  []string `placeholder:"NAME" help:"Dispatchers whose machine is lost: what their newest snapshots leave open is told."`
	JSON  bool     `name:"json" help:"One line of JSON."`
}

// summed is what sum --json prints.
type summed struct {
	*ledger.Fleet
	Lost   []ledger.Unaccounted `json:"lost"`   // open in the newest snapshots of dispatchers that are lost
	Faulty []string             `json:"faulty"` // files whose figures do not add up
}

func (c *ledgerSum) Run() error {
	var list []*ledger.Snapshot
	out := summed{Lost: []ledger.Unaccounted{}, Faulty: []string{}}
	for _, name := range c.Files {
		s, err := readFile(name)
		if err != nil {
			return err
		}
		if len(s.Check()) > 0 {
			out.Faulty = append(out.Faulty, name)
		}
		list = append(list, s)
	}
	var err error
	if out.Fleet, err = ledger.Sum(list...); err != nil {
		return err
	}
	for _, name := range c.Lost {
		left, err := lost(list, out.Fleet, name)
		if err != nil {
			return err
		}
		out.Lost = append(out.Lost, left...)
	}
	if c.JSON {
		err = printJSON(&out)
	} else {
		err = c.print(&out)
	}
	if err == nil && len(out.Faulty) > 0 {
		err = fmt.Errorf("%s: figures do not add up", strings.Join(out.Faulty, ", "))
	}
	return err
}

// lost is what the newest epoch of a dispatcher has open, by account.
func lost(list []*ledger.Snapshot, f *ledger.Fleet, name string) (out []ledger.Unaccounted, err error) {
	part := -1
	for i := range f.Parts { // the newest epoch of an instance comes last
		if f.Parts[i].Instance == name {
			part = i
		}
	}
	if part < 0 {
		return nil, usageError(fmt.Sprintf("--lost: no snapshot is of %q", name))
	}
	p := &f.Parts[part]
	at := slices.IndexFunc(list, func(s *ledger.Snapshot) bool {
		return s.Instance == name && s.Epoch.ID == p.Epoch.ID && s.Wall == p.Wall && s.Total.Open == p.Open
	})
	if at < 0 {
		return nil, fmt.Errorf("%q: its newest snapshot is not among the files", name)
	}
	for _, a := range list[at].Accounts {
		if a.Open > 0 {
			out = append(out, ledger.Unaccounted{Key: a.Key, Instance: name, Epoch: p.Epoch.ID, Open: a.Open})
		}
	}
	return out, nil
}

func (c *ledgerSum) print(s *summed) error {
	if err := accounts(os.Stdout, s.Accounts, &s.Total); err != nil {
		return err
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nDISPATCHER\tEPOCH\tSINCE\tAT\tBEHIND\tOPEN\tLEFT\tBREACHES")
	for _, p := range s.Parts {
		fmt.Fprintf(t, "%q\t%s\t%s\t%s\t%v\t%d\t%d\t%d\n", p.Instance, p.Epoch.ID, micros(p.Epoch.Began), micros(p.Wall),
			time.Duration(p.Behind)*time.Microsecond, p.Open, p.Unaccounted, p.StandingBreaches)
	}
	for _, l := range s.Fleet.Unaccounted {
		fmt.Fprintf(t, "left\t%q\t%s\t%q\t%d\n", l.Instance, l.Epoch, l.Key.String(), l.Open)
	}
	var open ledger.Count
	for _, l := range s.Lost {
		fmt.Fprintf(t, "lost\t%q\t%s\t%q\t%d\n", l.Instance, l.Epoch, l.Key.String(), l.Open)
		open += l.Open
	}
	if len(c.Lost) > 0 {
		fmt.Fprintf(t, "lost machines leave %d messages open\n", open)
	}
	return t.Flush()
}

type ledgerMetrics struct {
	books
	Listen string `placeholder:"HOST:PORT" help:"Serve them at /metrics until the program is ended, reading anew for each scrape."`
}

func (c *ledgerMetrics) Run() error {
	r := prometheus.NewRegistry()
	if err := r.Register(&exporter.Collector{Snapshot: c.cut}); err != nil {
		return err
	}
	if c.Listen != "" {
		mux := http.NewServeMux()
		mux.Handle("/metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{EnableOpenMetrics: true, MaxRequestsInFlight: 4, Timeout: 10 * time.Second}))
		s := &http.Server{Addr: c.Listen, Handler: mux, ReadTimeout: 5 * time.Second, WriteTimeout: 15 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10}
		return fmt.Errorf("--listen: %w", s.ListenAndServe())
	}
	list, err := r.Gather()
	if err != nil {
		return err
	}
	enc := expfmt.NewEncoder(os.Stdout, expfmt.NewFormat(expfmt.TypeOpenMetrics))
	for _, f := range list {
		if err := enc.Encode(f); err != nil {
			return err
		}
	}
	if c, ok := enc.(expfmt.Closer); ok {
		return c.Close()
	}
	return nil
}
