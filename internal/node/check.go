package node

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"curlewmux/engine"
	"curlewmux/internal/operator"
	"curlewmux/internal/wire"
)

// Report is what would be in force. Write prints it for people; as JSON it is for programs.
type Report struct {
	Settings []Setting `json:"settings"`
}

// Setting is one setting, and where its value is from.
type Setting struct {
	Name  string `json:"name"`
	Value any    `json:"value"` // null: there is none, or the section is off
	From  string `json:"from"`
}

// Where values are from. Environment stands before the name of a variable.
const (
	FromDefault     = "default"
	FromFile        = "configuration"   // the file that EDGE_CONFIG names
	FromOperator    = "operator's file" // --operator
	FromEnvironment = "environment "
	FromAgent       = "operator's file, for curlewmux-agent" // a dispatcher does not read it
	FromComputed    = "computed"                             // from other settings
)

// Check reads the configuration and, unless its name is "", the operator's file, as a start does, and tells what would be
// in force. It opens no socket and touches neither the state folder nor any file but those that settings name. An error
// names the setting at fault.
func Check(env func(string) string, settings string) (*Report, error) {
	file, text := &operator.File{}, ""
	if settings != "" {
		var err error
		if file, text, err = operator.ReadText(settings); err != nil {
			return nil, fmt.Errorf("--operator: %w", err)
		}
	}
	c, err := ReadConfig(env)
	if err != nil {
		return nil, err
	}
	disk, open := c.Disk, c.Settings.MaxOpen
	if err := c.ApplyOperatorFile(file); err != nil {
		return nil, err
	}
	share := c.share()
	c.Settings.Slots = min(c.Settings.Slots, share.calls)
	if _, err := engine.New(c.engine()); err != nil {
		return nil, err
	}
	r := &Report{}
	r.add("EDGE_CONFIG", env("EDGE_CONFIG"), FromEnvironment+"EDGE_CONFIG")
	for _, v := range []struct{ name, variable, value string }{
		{"name", "EDGE_NAME", c.Name}, {"listen", "EDGE_LISTEN", c.Listen}, {"discovery", "EDGE_DISCOVERY", c.Discovery},
		{"state", "EDGE_STATE", c.State},
	} {
		from := FromFile
		if env(v.variable) != "" {
			from = FromEnvironment + v.variable
		}
		r.add(v.name, v.value, from)
	}
	r.add("seed", fmt.Sprintf("%x", c.Seed), FromFile)
	r.add("limits.cores", c.Cores, FromFile)
	r.add("limits.memory_mb", c.Memory>>20, FromFile)
	r.add("limits.sockets", c.Sockets, FromFile)
	r.add("limits.disk_mb", c.limits.DiskMB, FromFile)
	r.site(c)
	r.operator(c, file, text)
	// What follows from these, where it is less than what is asked for, or is asked for nowhere.
	r.add("memory.aim_bytes", c.Memory*6/10, FromComputed)
	r.add("slots", c.Settings.Slots, FromComputed)
	r.add("connections.clients", share.clients, FromComputed)
	r.add("connections.idle", share.idle, FromComputed)
	if c.Disk != disk {
		r.add("disk.journal_bytes", c.Disk, FromComputed)
		r.add("disk.undelivered_bytes", disk-c.Disk, FromComputed)
	}
	r.add("messages.open", open, FromComputed)
	return r, nil
}

func (r *Report) add(name string, value any, from string) {
	r.Settings = append(r.Settings, Setting{Name: name, Value: value, From: from})
}

// site adds the site's settings, as the wire's parser reads them.
func (r *Report) site(c *Config) {
	first := len(r.Settings)
	for line := range strings.Lines(c.flat) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		if c.OperatorSetsInstances && name == "instances" {
			continue // the operator's file wins
		}
		r.add("settings."+name, value, FromFile)
	}
	_, presets, _ := wire.ParsePresets(c.flat) // it was without fault before
	for name, value := range presets {
		r.add("settings."+name, value, FromDefault)
	}
	if c.OperatorSetsInstances {
		r.add("settings.instances", fmt.Sprint(c.Settings.Instances), FromOperator+": fleet.instances")
	}
	slices.SortStableFunc(r.Settings[first:], func(a, b Setting) int { return cmp.Compare(a.Name, b.Name) })
}

// agentOnly are the sections that a dispatcher does not read.
var agentOnly = [...]string{"membership", "kubernetes", "fixed"}

func (r *Report) operator(c *Config, file *operator.File, text string) {
	list, err := operator.Explain(file, text)
	if err != nil { // Parse took the text
		return
	}
	for _, s := range list {
		from := FromDefault
		if s.Given {
			from = FromOperator
		}
		section, _, _ := strings.Cut(s.Name, ".")
		section, _, _ = strings.Cut(section, "[")
		if slices.Contains(agentOnly[:], section) {
			if from = FromAgent; s.Value == nil {
				continue
			}
		}
		if s.Name == "mail.front.connections" && !s.Given {
			s.Value, from = c.Mail.front.Conns, FromComputed
		}
		r.add(s.Name, s.Value, from)
	}
}

// Write prints a line for each setting.
func (r *Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SETTING\tVALUE\tFROM")
	for _, s := range r.Settings {
		value := []byte("-")
		if s.Value != nil {
			var b bytes.Buffer
			enc := json.NewEncoder(&b)
			enc.SetEscapeHTML(false)
			if err := enc.Encode(s.Value); err != nil {
				return fmt.Errorf("%s: %w", s.Name, err)
			}
			value = bytes.TrimSpace(b.Bytes())
		}
		fmt.Fprintf(t, "%s\t%s\t%s\n", s.Name, value, s.From)
	}
	return t.Flush()
}
