package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"

	"whinrun/control"
	"whinrun/internal/wire"
)

// Config is what a dispatcher is told at its start.
type Config struct {
	Name, Listen, Discovery, State string
	Seed                           uint64
	Memory, Disk                   int64 // bytes
	Sockets                        int
	Cores                          float64
	Known                          *Roster // the endpoint list as last had, nil if none
	Settings                       control.Settings
	Zones, Reports                 []string // names of the zones, and of the values in a load report
	stop                           stopTimes
}

// ReadConfig reads the file that EDGE_CONFIG names; the other EDGE variables take precedence over it.
func ReadConfig(env func(string) string) (*Config, error) {
	path := env("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	return parseConfig(text, env)
}

func parseConfig(text []byte, env func(string) string) (*Config, error) {
	var file struct {
		Name, Listen, Discovery, Seed string
		Limits                        struct {
			Cores    float64 `json:"cores"`
			MemoryMB int64   `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
			DiskMB   float64 `json:"disk_mb"`
		}
		Known    *Roster
		Settings map[string]any
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber() // figures reach the parser as they are written
	if err := dec.Decode(&file); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := &Config{
		stop: plannedStop(),
		Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, State: env("EDGE_STATE"), Known: file.Known,
		Cores: file.Limits.Cores, Sockets: file.Limits.Sockets, Memory: file.Limits.MemoryMB << 20, Disk: int64(file.Limits.DiskMB * 1e6),
	}
	for _, v := range []struct {
		name string
		to   *string
	}{{"EDGE_NAME", &c.Name}, {"EDGE_LISTEN", &c.Listen}, {"EDGE_DISCOVERY", &c.Discovery}, {"EDGE_STATE", &c.State}} {
		if s := env(v.name); s != "" {
			*v.to = s
		} else if *v.to == "" {
			return nil, fmt.Errorf("%s: missing", v.name)
		}
	}
	for _, l := range []struct {
		name string
		v    float64
	}{
		{"cores", file.Limits.Cores}, {"memory_mb", float64(file.Limits.MemoryMB)},
		{"sockets", float64(file.Limits.Sockets)}, {"disk_mb", file.Limits.DiskMB},
	} {
		if l.v <= 0 {
			return nil, fmt.Errorf("limits.%s: %g is out of range", l.name, l.v)
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if c.Settings, err = wire.ParseSettings(flatten(file.Settings)); err != nil {
		return nil, err
	}
	c.Zones = names(file.Settings["dcs"])
	if report, ok := file.Settings["report"].(map[string]any); ok {
		c.Reports = names(report["names"])
	}
	return c, nil
}

// names are the strings of a JSON list as the flat form has them.
func names(v any) (out []string) {
	list, _ := v.([]any)
	for _, s := range list {
		out = append(out, plain(fmt.Sprint(s)))
	}
	return out
}

// plain is a value as the flat form has it: spaces and commas become underscores.
func plain(s string) string { return strings.NewReplacer(" ", "_", ",", "_").Replace(s) }

// flatten turns nested settings into the path=value lines that the wire's parser reads.
func flatten(settings map[string]any) string {
	var b strings.Builder
	flattenInto(&b, "", settings)
	return b.String()
}

func flattenInto(b *strings.Builder, at string, v any) {
	switch v := v.(type) {
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			flattenInto(b, strings.TrimPrefix(at+"."+k, "."), v[k])
		}
	case []any:
		flat := make([]string, len(v))
		objects := len(v) == 0 // an empty list may be of either sort
		for i, item := range v {
			if _, ok := item.(map[string]any); ok {
				objects = true
				flattenInto(b, fmt.Sprintf("%s.%d", at, i), item)
			}
			flat[i] = plain(fmt.Sprint(item))
		}
		if objects {
			fmt.Fprintf(b, "%s.count=%d\n", at, len(v))
		}
		if !objects || len(v) == 0 {
			fmt.Fprintf(b, "%s=%s\n", at, strings.Join(flat, ","))
		}
	case nil:
	default:
		fmt.Fprintf(b, "%s=%s\n", at, strings.ReplaceAll(plain(fmt.Sprint(v)), "\n", "_"))
	}
}
