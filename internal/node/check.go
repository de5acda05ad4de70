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

// Report lists the settings that would be in force. Write prints it as a table; its JSON form is for programs.
type Report struct {
	Settings []Setting `json:"settings"`
}

// Setting is one setting with its value and the origin of the value.
type Setting struct {
	Name  string `json:"name"`
	Value any    `json:"value"` // null: not set, or the section is off
	From  string `json:"from"`
}

// Origins of values. FromEnvironment is followed by the name of a variable.
const (
	FromDefault     = "default"
	FromFile        = "configuration"   // file that EDGE_CONFIG names
	FromOperator    = "operator's file" // --operator
	FromEnvironment = "environment "
	FromAgent       = "operator's file, for curlewmux-agent" // not read by a dispatcher
	FromComputed    = "computed"                             // from other settings and limits
)

// Check reads the configuration and, unless settings is "", the operator's file of that name, as a start does. It
// returns what would be in force. It opens no socket and does not touch the state folder; besides these two files it reads
// only files that settings name. An error names the setting at fault.
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
	share := c.shareDescriptors()
	c.Settings.Slots = min(c.Settings.Slots, share.calls)
	if _, err := engine.New(c.engineSettings()); err != nil {
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
	r.addSettings(c)
	r.addOperatorFile(c, file, text)
	// Values computed from the settings above: lower than requested, or not set anywhere.
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

// add appends one setting.
func (r *Report) add(name string, value any, from string) {
	r.Settings = append(r.Settings, Setting{Name: name, Value: value, From: from})
}

// addSettings adds the settings of the configuration in their flat form, with the defaults of those that are missing.
func (r *Report) addSettings(c *Config) {
	first := len(r.Settings)
	for line := range strings.Lines(c.flatSettings) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		if c.OperatorSetsInstances && name == "instances" {
			continue // overridden by the operator's file
		}
		r.add("settings."+name, value, FromFile)
	}
	_, presets, _ := wire.ParsePresets(c.flatSettings) // ReadConfig has parsed the same text without an error
	for name, value := range presets {
		r.add("settings."+name, value, FromDefault)
	}
	if c.OperatorSetsInstances {
		r.add("settings.instances", fmt.Sprint(c.Settings.Instances), FromOperator+": fleet.instances")
	}
	slices.SortStableFunc(r.Settings[first:], func(a, b Setting) int { return cmp.Compare(a.Name, b.Name) })
}

// agentSections are the sections of the operator's file that only the agent reads.
var agentSections = [...]string{"membership", "kubernetes", "fixed"}

// addOperatorFile adds the settings of the operator's file, with their defaults.
func (r *Report) addOperatorFile(c *Config, file *operator.File, text string) {
	list, err := operator.Explain(file, text)
	if err != nil { // cannot happen: ReadText has parsed the same text
		return
	}
	for _, s := range list {
		from := FromDefault
		if s.Given {
			from = FromOperator
		}
		section, _, _ := strings.Cut(s.Name, ".")
		section, _, _ = strings.Cut(section, "[")
		if slices.Contains(agentSections[:], section) {
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

// Write prints a table with one line per setting.
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
