package journal

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"text/tabwriter"
	"time"

	"curlewmux/engine"
)

// Report is what a folder holds, for people.
type Report struct {
	State
	Format        int // of the records, 0 if there are none
	Owner         string
	Segments      []Segment
	ObsoleteFiles []string // files that count no more
	Bytes         int64    // of all that is the journal's, in whole blocks
}

// Segment is one file that counts.
type Segment struct {
	Name       string
	Bytes      int64 // of the file
	ValidBytes int64 // up to where it counts
}

// Check reads a folder without changing it, also while a process writes there: then it is as it was a moment ago. An error
// says that the folder can't be read, ErrNewerFormat that a newer program wrote it.
func Check(dir Dir) (*Report, error) {
	for try := 0; ; try++ {
		r, err := check(dir)
		// Segments go while they are read.
		if again := errors.Is(err, fs.ErrNotExist) || errors.Is(err, io.ErrUnexpectedEOF); !again || try == 200 {
			if err != nil {
				return nil, fmt.Errorf("journal: %w", err)
			}
			return r, nil
		}
	}
}

func check(dir Dir) (*Report, error) {
	names, err := dir.List()
	if err != nil {
		return nil, err
	}
	r, err := read(dir, "", true)
	if err != nil {
		return nil, err
	}
	rep := &Report{State: *r.list(r.found), Owner: r.owner, ObsoleteFiles: r.useless, Bytes: r.oldBytes}
	for _, s := range r.segs {
		rep.Segments = append(rep.Segments, Segment{s.name, s.disk, s.size})
		rep.Bytes += blocks(s.disk)
	}
	for _, name := range r.old {
		n := fileSize(dir, name)
		rep.Segments = append(rep.Segments, Segment{name, n, n})
	}
	for _, name := range r.useless {
		rep.Bytes += fileSize(dir, name)
	}
	for _, name := range names {
		if name == spareName {
			rep.Bytes += fileSize(dir, name)
		}
	}
	switch {
	case len(r.old) > 0:
		rep.Format = 1
	case len(r.segs) > 0:
		rep.Format = format
	}
	return rep, nil
}

// Print writes the report as text, with a line for each message that is live, if asked for.
func (r *Report) Print(w io.Writer, messages bool) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	now := r.Last.LatestTimestamp
	if messages {
		fmt.Fprintln(t, "ID\tCLASS\tTENANT\tDEST\tBYTES\tTRIES\tDOUBT\tDEADLINE\tOWED")
		for _, l := range r.Live {
			m := &l.Message
			doubt, owed := "-", "-"
			if l.DoubtAt != 0 {
				doubt = at(l.DoubtAt)
			}
			if l.Pending != nil {
				owed = howName(l.Pending.Disposition)
			}
			fmt.Fprintf(t, "%q\t%q\t%q\t%d\t%d\t%d\t%s\t%s\t%s\n",
				m.ID, m.Class, m.Tenant, m.Destination, len(m.Body), l.Tries, doubt, at(l.Deadline), owed)
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	for _, s := range r.Segments {
		fmt.Fprintf(t, "segment\t%s\t%d bytes\t%d count\n", s.Name, s.Bytes, s.ValidBytes)
	}
	for _, name := range r.ObsoleteFiles {
		fmt.Fprintf(t, "void\t%s\n", name)
	}
	for _, name := range r.Findings.ForeignFiles {
		fmt.Fprintf(t, "foreign\t%s\n", name)
	}
	fmt.Fprintf(t, "format\t%d\nowner\t%q\n", r.Format, r.Owner)
	owed, doubtful := 0, 0
	for _, l := range r.Live {
		if l.Pending != nil {
			owed++
		}
		if l.DoubtAt != 0 {
			doubtful++
		}
	}
	fmt.Fprintf(t, "live\t%d\t%d may have run\t%d with an end to be told\n", len(r.Live), doubtful, owed)
	fmt.Fprintf(t, "ended\t%d\tids that still count\n", len(r.Ended))
	if now != 0 {
		fmt.Fprintf(t, "written\t%s\n", at(now))
	}
	fmt.Fprintf(t, "disk\t%d bytes\n", r.Bytes)
	f := &r.Findings
	fmt.Fprintf(t, "unfinished\t%d bytes\n", f.UnfinishedBytes)
	if !f.OK() {
		fmt.Fprintf(t, "DAMAGED\t%d bytes, %d segments missing\n", f.DamagedBytes, f.MissingSegments)
		fmt.Fprintf(t, "lost\t%d messages at most\t%d records about messages, and %d found a second time\n", f.LostMessages, f.LostFacts, f.RecoveredFacts)
		fmt.Fprintf(t, "doubtful\t%d messages will not be sent again\n", f.DoubtfulMessages)
	}
	return t.Flush()
}

func at(s engine.Timestamp) string {
	return time.UnixMicro(int64(s)).UTC().Format("2006-01-02T15:04:05.000Z")
}

func howName(h engine.Disposition) string {
	switch h {
	case engine.Delivered:
		return "delivered"
	case engine.Refused:
		return "refused"
	case engine.Failed:
		return "failed"
	case engine.Closed:
		return "over"
	case engine.Withdrawn:
		return "withdrawn"
	}
	return fmt.Sprint("how ", uint8(h))
}
