package redeliver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"time"

	"curlewmux/control"
	"curlewmux/internal/journal"
	"curlewmux/undelivered"
)

// Request is a command of an operator's.
type Request struct {
	Command           string `json:"command"` // list, show, resend, drop or export
	Filter            Filter `json:"filter"`
	By                string `json:"by,omitempty"` // resend, drop; so are the next five
	Why               string `json:"why,omitempty"`
	Token             string `json:"token,omitempty"`
	ConfirmedNoEffect bool   `json:"vouch,omitempty"`
	DryRun            bool   `json:"dry_run,omitempty"`
	Wait              bool   `json:"wait,omitempty"` // until what was claimed is no longer being sent
}

// Filter says which entries are meant: those that all of its fields fit. Empty fields fit all.
type Filter struct {
	All            bool                `json:"all,omitempty"` // needed by resend and drop where nothing else is set
	Numbers        []uint64            `json:"numbers,omitempty"`
	IDs            []string            `json:"ids,omitempty"`
	Classes        []string            `json:"classes,omitempty"`
	Tenants        []string            `json:"tenants,omitempty"`
	Destinations   []int               `json:"dests,omitempty"`
	Causes         []string            `json:"causes,omitempty"`
	States         []undelivered.State `json:"states,omitempty"` // none: all but those that have ended
	Doubt          string              `json:"doubt,omitempty"`  // only or none
	OlderSeconds   int64               `json:"older_s,omitempty"`
	YoungerSeconds int64               `json:"younger_s,omitempty"`
	Limit          int                 `json:"limit,omitempty"`
}

// Reply is one line of the answer to a Request; one of its fields is set.
type Reply struct {
	Entry    *EntryLine        `json:"entry,omitempty"`
	Details  *EntryDetails     `json:"full,omitempty"`
	Refused  *Refusal          `json:"refused,omitempty"`
	Result   *ActionResult     `json:"outcome,omitempty"`
	Progress *Progress         `json:"progress,omitempty"`
	Summary  map[string]int    `json:"summary,omitempty"` // the last line
	Counts   map[string]string `json:"counts,omitempty"`
}

// Refusal is a message that was handed back to its client.
type Refusal = undelivered.RefusedMessage

// Progress says how far long work is.
type Progress struct {
	Done     int `json:"done"`
	Total    int `json:"of,omitempty"`   // 0: not known yet
	InFlight int `json:"left,omitempty"` // being sent
}

// EntryLine is an entry in a list.
type EntryLine struct {
	Number      uint64            `json:"number"`
	ID          string            `json:"id"`
	State       undelivered.State `json:"state"`
	Class       string            `json:"class"`
	Tenant      string            `json:"tenant,omitempty"`
	Destination int               `json:"dest"`
	Bytes       int               `json:"bytes"`
	KeptAt      time.Time         `json:"kept_at"`
	Resends     int               `json:"tries"`
	Cause       string            `json:"cause"`
	Doubt       bool              `json:"doubt"` // it may have taken effect
	Disposition string            `json:"end,omitempty"`
	Outlook     string            `json:"outlook,omitempty"`
}

// EntryDetails is all of an entry; Body only where it was asked for.
type EntryDetails struct {
	*undelivered.Entry
	Body    []byte `json:"body,omitempty"`
	Outlook string `json:"outlook,omitempty"`
}

// ErrRequest is in the chain of errors about a request that can't be understood.
var ErrRequest = errors.New("request")

const (
	chunkRows   = 500 // looked at in one go on the driver's goroutine
	chunkOrders = 20  // carried out in one go
	pollGap     = 200 * time.Millisecond
)

// Check tells what is wrong with a request.
func (r *Request) Check() error {
	f := &r.Filter
	switch {
	case !slices.Contains([]string{"list", "show", "resend", "drop", "export"}, r.Command):
		return fmt.Errorf("%w: command %.40q is unknown", ErrRequest, r.Command)
	case f.Doubt != "" && f.Doubt != "only" && f.Doubt != "none":
		return fmt.Errorf("%w: doubt %.40q is neither only nor none", ErrRequest, f.Doubt)
	case f.OlderSeconds < 0 || f.YoungerSeconds < 0 || f.Limit < 0:
		return fmt.Errorf("%w: a negative number", ErrRequest)
	}
	if r.Command != "resend" && r.Command != "drop" {
		return nil
	}
	switch {
	case r.By == "" || len(r.By) > 100:
		return fmt.Errorf("%w: by: who wants it is missing, or over 100 bytes", ErrRequest)
	case r.Why == "" || len(r.Why) > 500:
		return fmt.Errorf("%w: why: the reason is missing, or over 500 bytes", ErrRequest)
	case !f.All && len(f.Numbers)+len(f.IDs)+len(f.Classes)+len(f.Tenants)+len(f.Destinations)+len(f.Causes)+len(f.States) == 0 &&
		f.Doubt == "" && f.OlderSeconds == 0 && f.YoungerSeconds == 0:
		return fmt.Errorf("%w: neither numbers nor a filter: say all if that is meant", ErrRequest)
	case len(r.Token) > 100:
		return fmt.Errorf("%w: token: over 100 bytes", ErrRequest)
	}
	return nil
}

// fits tells whether an entry is meant, as far as that shows without its file.
func (f *Filter) fits(s *undelivered.Summary, now Time) bool {
	age := int64((now - s.KeptAt) / control.Second)
	switch {
	case len(f.Numbers) > 0 && !slices.Contains(f.Numbers, s.Number),
		len(f.Classes) > 0 && !slices.Contains(f.Classes, s.Class),
		len(f.Tenants) > 0 && !slices.Contains(f.Tenants, s.Tenant),
		len(f.Destinations) > 0 && !slices.Contains(f.Destinations, s.Destination),
		len(f.Causes) > 0 && !slices.Contains(f.Causes, s.Cause),
		f.Doubt != "" && (f.Doubt == "only") != (s.Doubt.FirstSent != 0),
		f.OlderSeconds > 0 && age < f.OlderSeconds, f.YoungerSeconds > 0 && age >= f.YoungerSeconds:
		return false
	case len(f.States) > 0:
		return slices.Contains(f.States, s.State)
	}
	return s.State != undelivered.Ended || len(f.Numbers)+len(f.IDs) > 0
}

// Service answers commands.
type Service struct {
	Resender    *Resender
	Dir         journal.Dir         // may be read from any goroutine
	RunOnDriver func(f func()) bool // runs f on the driver's goroutine; false if that has stopped
	Sleep       func(time.Duration) // pauses
}

var errStopped = errors.New("the dispatcher is stopping")

// do runs f on the driver's goroutine and waits for it.
func (s *Service) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	if !s.RunOnDriver(func() { f(); close(done) }) {
		return errStopped
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errStopped
	}
}

// Handle answers one command, on any goroutine but the driver's. reply is called for each line; its error ends the
// command. What was done by then stays done.
func (s *Service) Handle(ctx context.Context, r *Request, reply func(*Reply) error) error {
	if err := r.Check(); err != nil {
		return err
	}
	switch r.Command {
	case "list", "show", "export":
		return s.tell(ctx, r, reply)
	}
	return s.orders(ctx, r, reply)
}

// pick is an entry that a filter fits.
type pick struct {
	undelivered.Summary
	file, outlook string
}

// picks finds the entries that a filter fits, some at a time, so that nothing waits for it.
func (s *Service) picks(ctx context.Context, f *Filter, outlook bool, each func([]pick) error) error {
	numbers := map[uint64]bool{}
	if len(f.IDs) > 0 {
		err := s.do(ctx, func() {
			for _, id := range f.IDs {
				for _, no := range s.Resender.store.FindByID(id) {
					numbers[no] = true
				}
			}
		})
		if err != nil {
			return err
		}
	}
	next, found := uint64(0), 0
	for more := true; more; {
		var list []pick
		more = false
		err := s.do(ctx, func() {
			now, rows := s.Resender.store.Now(), 0
			s.Resender.store.Each(next, func(e undelivered.Summary) bool {
				if rows++; rows > chunkRows {
					more = true
					return false
				}
				next = e.Number + 1
				if f.fits(&e, now) && (len(f.IDs) == 0 || numbers[e.Number]) {
					one := pick{Summary: e, file: s.Resender.store.FileName(e.Number)}
					if outlook {
						one.outlook = s.Resender.Outlook(&e)
					}
					list = append(list, one)
					if found++; f.Limit > 0 && found >= f.Limit {
						return false
					}
				}
				return true
			})
		})
		if err != nil {
			return err
		}
		if err := each(list); err != nil {
			return err
		}
		if f.Limit > 0 && found >= f.Limit {
			return nil
		}
	}
	return nil
}

// tell lists, shows or exports.
func (s *Service) tell(ctx context.Context, r *Request, reply func(*Reply) error) error {
	sum := map[string]int{}
	if slices.Contains(r.Filter.States, undelivered.Refused) {
		if err := ReplyRefused(s.Dir, &r.Filter, sum, reply); err != nil {
			return err
		}
	}
	err := s.picks(ctx, &r.Filter, true, func(list []pick) error {
		for i := range list {
			p := &list[i]
			sum[string(p.State)]++
			e, err := undelivered.Read(s.Dir, p.file)
			if errors.Is(err, fs.ErrNotExist) { // it was written anew, or went
				if s.do(ctx, func() { e, err = s.Resender.store.Entry(p.Number) }) != nil || err != nil {
					continue
				}
			}
			if err != nil {
				e = &undelivered.Entry{Number: p.Number, State: undelivered.Damaged}
			}
			if e.Claim != nil {
				p.outlook = (&undelivered.ClaimedError{Claim: *e.Claim}).Error()
			}
			if err := ReplyEntry(r.Command, e, p.outlook, reply); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	var counts undelivered.Counts
	used, out := int64(0), 0
	if err := s.do(ctx, func() {
		counts, used, out = s.Resender.store.Counts, s.Resender.store.DiskBytes(), s.Resender.plan.InFlight()
	}); err != nil {
		return err
	}
	text, err := json.Marshal(counts)
	if err != nil {
		return err
	}
	return reply(&Reply{Summary: sum, Counts: map[string]string{
		"since_start": string(text), "disk_bytes": fmt.Sprint(used), "being_sent": fmt.Sprint(out),
	}})
}

// ReplyEntry replies with an entry as a command wants it.
func ReplyEntry(command string, e *undelivered.Entry, outlook string, reply func(*Reply) error) error {
	if command == "list" {
		l := &EntryLine{
			Number: e.Number, ID: e.ID, State: e.State, Class: e.Class, Tenant: e.Tenant, Destination: e.Destination, Bytes: e.Bytes, KeptAt: e.KeptAt,
			Resends: e.Resends, Doubt: e.Doubt.FirstSent != 0, Disposition: e.Disposition, Outlook: outlook,
		}
		if n := len(e.Submissions); n > 0 {
			l.Cause = e.Submissions[n-1].Cause
		}
		return reply(&Reply{Entry: l})
	}
	full := &EntryDetails{Entry: e, Outlook: outlook}
	if command == "export" {
		full.Body = e.Body
	}
	return reply(&Reply{Details: full})
}

// ReplyRefused replies with what was handed back to clients of late.
func ReplyRefused(dir journal.Dir, f *Filter, sum map[string]int, reply func(*Reply) error) error {
	list, err := undelivered.ReadRefused(dir)
	if err != nil {
		return err
	}
	for i := range list {
		h := &list[i]
		if len(f.Classes) > 0 && !slices.Contains(f.Classes, h.Class) || len(f.Destinations) > 0 && !slices.Contains(f.Destinations, h.Destination) ||
			len(f.Tenants) > 0 && !slices.Contains(f.Tenants, h.Tenant) || len(f.IDs) > 0 && !slices.Contains(f.IDs, h.ID) ||
			len(f.Causes) > 0 && !slices.Contains(f.Causes, h.Cause) {
			continue
		}
		sum[string(undelivered.Refused)]++
		if err := reply(&Reply{Refused: h}); err != nil {
			return err
		}
	}
	return nil
}

// ReplyFromFolder answers list, show and export from a folder that no dispatcher need have. What rules would do is not known.
func ReplyFromFolder(dir journal.Dir, r *Request, reply func(*Reply) error) error {
	if err := r.Check(); err != nil {
		return err
	}
	sum := map[string]int{}
	if slices.Contains(r.Filter.States, undelivered.Refused) {
		if err := ReplyRefused(dir, &r.Filter, sum, reply); err != nil {
			return err
		}
	}
	list, err := undelivered.ReadAll(dir)
	if err != nil {
		return err
	}
	found := 0
	for _, e := range list {
		one := e.Summary()
		age := Time(time.Since(e.KeptAt).Microseconds())
		if !r.Filter.fits(&one, one.KeptAt+age) || len(r.Filter.IDs) > 0 && !e.HasAnyID(r.Filter.IDs) {
			continue
		}
		sum[string(e.State)]++
		if err := ReplyEntry(r.Command, e, "", reply); err != nil {
			return err
		}
		if found++; r.Filter.Limit > 0 && found >= r.Filter.Limit {
			break
		}
	}
	return reply(&Reply{Summary: sum})
}

// orders carries out resend or drop.
func (s *Service) orders(ctx context.Context, r *Request, reply func(*Reply) error) error {
	var list []uint64
	err := s.picks(ctx, &r.Filter, false, func(p []pick) error {
		for i := range p {
			list = append(list, p[i].Number)
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, no := range r.Filter.Numbers { // also those that are not there are told of
		if !slices.Contains(list, no) && len(r.Filter.States) == 0 {
			list = append(list, no)
		}
	}
	o := ManualAction{Operator: r.By, Reason: r.Why, Token: r.Token, ConfirmedNoEffect: r.ConfirmedNoEffect, DryRun: r.DryRun}
	sum := map[string]int{}
	var claimed []uint64
	for from := 0; from < len(list); from += chunkOrders {
		part := list[from:min(from+chunkOrders, len(list))]
		var outs []ActionResult
		err := s.do(ctx, func() {
			for _, no := range part {
				if r.Command == "drop" {
					outs = append(outs, s.Resender.Drop(no, o))
				} else {
					outs = append(outs, s.Resender.ResendManually(no, o))
				}
			}
			s.Resender.ScheduleWake()
		})
		if err != nil {
			return err
		}
		for i := range outs {
			sum[string(outs[i].Status)]++
			if outs[i].Status == StatusClaimed || outs[i].Status == StatusDoneBefore {
				claimed = append(claimed, outs[i].Number)
			}
			if err := reply(&Reply{Result: &outs[i]}); err != nil {
				return err
			}
		}
		if err := reply(&Reply{Progress: &Progress{Done: from + len(part), Total: len(list)}}); err != nil {
			return err
		}
	}
	if r.Wait && r.Command == "resend" {
		if err := s.await(ctx, claimed, sum, reply); err != nil {
			return err
		}
	}
	return reply(&Reply{Summary: sum})
}

// await waits until entries are no longer claimed or away, and counts how they stand then.
func (s *Service) await(ctx context.Context, list []uint64, sum map[string]int, reply func(*Reply) error) error {
	all := len(list)
	for len(list) > 0 {
		var left []uint64
		for from := 0; from < len(list); from += chunkRows {
			err := s.do(ctx, func() {
				for _, no := range list[from:min(from+chunkRows, len(list))] {
					e, ok := s.Resender.store.Get(no)
					switch {
					case !ok:
						sum["now gone"]++
					case e.State == undelivered.Claimed || e.State == undelivered.InFlight:
						left = append(left, no)
					default:
						sum["now "+string(e.State)]++
					}
				}
			})
			if err != nil {
				return err
			}
		}
		if list = left; len(list) == 0 {
			break
		}
		if err := reply(&Reply{Progress: &Progress{Done: all - len(list), Total: all, InFlight: len(list)}}); err != nil {
			return err
		}
		s.Sleep(pollGap)
		if ctx.Err() != nil {
			return errStopped
		}
	}
	return nil
}
