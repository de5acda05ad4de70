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

// Report describes the content of a folder for an operator.
type Report struct {
	State
	Format        int // of the records, 0 if there are none
	Owner         string
	Segments      []Segment
	ObsoleteFiles []string // files whose content is no longer needed
	Bytes         int64    // disk use of all files of the journal, each in whole blocks
}

// Segment is one file that is in use.
type Segment struct {
	Name       string
	Bytes      int64 // size of the file
	ValidBytes int64 // size of its valid part
}

// Check reads a folder without changing it. If a process is writing there, the report shows a recent state. An error
// means that the folder can't be read, ErrNewerFormat that a newer program wrote it.
func Check(dir Dir) (*Report, error) {
	for attempt := 0; ; attempt++ {
		r, err := checkOnce(dir)
		// Segments may be removed while they are read.
		if again := errors.Is(err, fs.ErrNotExist) || errors.Is(err, io.ErrUnexpectedEOF); !again || attempt == 200 {
			if err != nil {
				return nil, fmt.Errorf("journal: %w", err)
			}
			return r, nil
		}
	}
}

// checkOnce is Check without another try when segments are removed meanwhile.
func checkOnce(dir Dir) (*Report, error) {
	names, err := dir.List()
	if err != nil {
		return nil, err
	}
	result, err := readFolder(dir, "", true)
	if err != nil {
		return nil, err
	}
	report := &Report{State: *result.toState(result.findings), Owner: result.owner, ObsoleteFiles: result.obsolete, Bytes: result.v1Bytes}
	for _, s := range result.segments {
		report.Segments = append(report.Segments, Segment{s.name, s.diskSize, s.validSize})
		report.Bytes += blocks(s.diskSize)
	}
	for _, name := range result.v1Files {
		n := fileSize(dir, name)
		report.Segments = append(report.Segments, Segment{name, n, n})
	}
	for _, name := range result.obsolete {
		report.Bytes += fileSize(dir, name)
	}
	for _, name := range names {
		if name == spareName {
			report.Bytes += fileSize(dir, name)
		}
	}
	switch {
	case len(result.v1Files) > 0:
		report.Format = 1
	case len(result.segments) > 0:
		report.Format = formatVersion
	}
	return report, nil
}

// Print writes the report as text, with a line for each live message if messages is set.
func (r *Report) Print(w io.Writer, messages bool) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	now := r.Last.LatestTimestamp
	if messages {
		fmt.Fprintln(out, "ID\tCLASS\tTENANT\tDEST\tBYTES\tTRIES\tDOUBT\tDEADLINE\tOWED")
		for _, l := range r.Live {
			m := &l.Message
			doubt, pending := "-", "-"
			if l.DoubtAt != 0 {
				doubt = formatTime(l.DoubtAt)
			}
			if l.Pending != nil {
				pending = dispositionName(l.Pending.Disposition)
			}
			fmt.Fprintf(out, "%q\t%q\t%q\t%d\t%d\t%d\t%s\t%s\t%s\n",
				m.ID, m.Class, m.Tenant, m.Destination, len(m.Body), l.Tries, doubt, formatTime(l.Deadline), pending)
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
	for _, s := range r.Segments {
		fmt.Fprintf(out, "segment\t%s\t%d bytes\t%d count\n", s.Name, s.Bytes, s.ValidBytes)
	}
	for _, name := range r.ObsoleteFiles {
		fmt.Fprintf(out, "void\t%s\n", name)
	}
	for _, name := range r.Findings.ForeignFiles {
		fmt.Fprintf(out, "foreign\t%s\n", name)
	}
	fmt.Fprintf(out, "format\t%d\nowner\t%q\n", r.Format, r.Owner)
	pending, doubtful := 0, 0
	for _, l := range r.Live {
		if l.Pending != nil {
			pending++
		}
		if l.DoubtAt != 0 {
			doubtful++
		}
	}
	fmt.Fprintf(out, "live\t%d\t%d may have run\t%d with an end to be told\n", len(r.Live), doubtful, pending)
	fmt.Fprintf(out, "ended\t%d\tids that still count\n", len(r.Ended))
	if now != 0 {
		fmt.Fprintf(out, "written\t%s\n", formatTime(now))
	}
	fmt.Fprintf(out, "disk\t%d bytes\n", r.Bytes)
	f := &r.Findings
	fmt.Fprintf(out, "unfinished\t%d bytes\n", f.UnfinishedBytes)
	if !f.OK() {
		fmt.Fprintf(out, "DAMAGED\t%d bytes, %d segments missing\n", f.DamagedBytes, f.MissingSegments)
		fmt.Fprintf(out, "lost\t%d messages at most\t%d records about messages, and %d found a second time\n", f.LostMessages, f.LostFacts, f.RecoveredFacts)
		fmt.Fprintf(out, "doubtful\t%d messages will not be sent again\n", f.DoubtfulMessages)
	}
	return out.Flush()
}

func formatTime(s engine.Timestamp) string {
	return time.UnixMicro(int64(s)).UTC().Format("2006-01-02T15:04:05.000Z")
}

func dispositionName(h engine.Disposition) string {
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
