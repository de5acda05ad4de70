package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	httpfront "curlewmux/internal/front/http"
	"curlewmux/internal/journal"
	"curlewmux/internal/operator"
	"curlewmux/internal/wire"
	"curlewmux/membership/partnerlist"
)

// Config is what a dispatcher is told at its start.
type Config struct {
	Name, Listen, Discovery, State string
	Seed                           uint64
	Memory, Disk                   int64 // bytes
	Sockets                        int
	Cores                          float64
	CachedList                     *partnerlist.List // the endpoint list as last had, nil if none
	Dir                            journal.Dir       // in place of the folder State, where that is no folder of this machine
	Interceptors                   Interceptors
	Sync                           journal.Sync  // when what the journal has is made to outlast a power failure
	SyncInterval                   time.Duration // of journal.SyncInterval
	Mail                           *Mail         // nil: neither spoken nor taken
	OperatorSetsInstances          bool          // the operator's file says how many dispatchers there are
	Undelivered                    *Undelivered  // nil: what can't be delivered is not kept
	Ledger                         *Ledger       // nil: no books are kept
	Settings                       control.Settings
	Zones, Reports                 []string // names of the zones, and of the values in a load report
	stop                           stopTimes
	limits                         limits
	flat                           string // the settings as the wire's parser reads them
}

// limits are what the platform allows.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
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
	return ParseConfig(text, env)
}

// RereadConfig reads the file again for a reload. There the file's discovery counts: the variable holds what was true
// when the process began.
func RereadConfig(env func(string) string) (*Config, error) {
	return ReadConfig(func(name string) string {
		if name == "EDGE_DISCOVERY" {
			return ""
		}
		return env(name)
	})
}

// ApplyOperatorFile takes what the operator's file sets for the daemon. Its error names the setting that does not fit the
// configuration.
func (c *Config) ApplyOperatorFile(f *operator.File) (err error) {
	if f.Journal != nil {
		c.Sync = map[string]journal.Sync{
			"none": journal.SyncNone, "interval": journal.SyncInterval, "always": journal.SyncAlways,
		}[f.Journal.Sync]
		c.SyncInterval = f.Journal.Every()
	}
	c.Ledger = ReadLedger(f.Ledger)
	if f.Mail != nil {
		if c.Mail, err = ReadMail(f.Mail, c); err != nil {
			return err
		}
	}
	if f.Undelivered != nil {
		c.Undelivered, err = ReadUndelivered(f.Undelivered, c)
	}
	if err == nil && f.Fleet != nil {
		err = c.setFleet(f.Fleet.Instances)
	}
	return err
}

// setFleet takes how many dispatchers there are from the operator's file, in place of the settings.
func (c *Config) setFleet(instances int) error {
	if instances <= c.Settings.Me {
		return fmt.Errorf("fleet.instances: %d dispatchers, and this one has number %d, counted from 0", instances, c.Settings.Me)
	}
	c.Settings.Instances, c.OperatorSetsInstances = instances, true
	return nil
}

// ReapplyOperatorFile takes from the operator's file, read anew, what may change while running: how many dispatchers there are.
// Its error names the setting.
func (c *Config) ReapplyOperatorFile(f *operator.File) error {
	if f.Fleet == nil {
		return nil
	}
	return c.setFleet(f.Fleet.Instances)
}

// shares are how many descriptors clients, calls out and idle connections to endpoints may take.
type shares struct{ clients, calls, idle int }

const (
	otherFiles   = 32       // descriptors that are neither a client's nor a call's, at most
	idleCalls    = 4        // idle connections to endpoints for each call, at most
	clientMemory = 64 << 10 // what a client's connection may take

	// A dial takes some 60 us of a core: at this pace they take an eighth of one, however many endpoints are cold.
	dialBurst = 64
	dialGap   = 500 * time.Microsecond

	heldShare    = 8       // bodies held may take one part in so many of the memory
	transitShare = 24      // and those being read one in so many
	idMemory     = 2 << 10 // one id that ended is remembered for each so many bytes of memory
)

// share divides the descriptors: what the slots need, but no more than a third, goes to calls.
func (c *Config) share() (s shares) {
	rest := c.Sockets - min(otherFiles, c.Sockets/2)
	if c.Mail != nil {
		rest -= c.Mail.sockets()
	}
	s.calls = max(1, min(c.Settings.Slots, rest/3))
	s.idle = min((rest-s.calls)/4, idleCalls*s.calls)
	s.clients = max(1, min(rest-s.calls-s.idle, int(c.Memory/clientMemory)))
	return s
}

// engine are the engine's settings.
func (c *Config) engine() engine.Settings {
	set := engine.Settings{
		Control: c.Settings, Seed: c.Seed, HasStore: true, MaxBytes: int(c.Memory / heldShare), MaxIDs: int(c.Memory / idMemory),
	}
	if c.Mail != nil {
		set.KindBytes, set.ClassRemember = c.Mail.callBytes, c.Mail.remember
	}
	return set
}

// names give the numbers of zones and kinds.
func (c *Config) names() partnerlist.NameIndex {
	return partnerlist.NameIndex{
		Zone: func(name string) int { return slices.Index(c.Zones, name) },
		Kind: func(name string) int {
			return slices.IndexFunc(c.Settings.Kinds, func(k control.Kind) bool { return k.Name == name })
		},
	}
}

func (c *Config) classes() (out []httpfront.Class) {
	for _, k := range c.Settings.Classes {
		out = append(out, httpfront.Class{Name: k.Name, NeedsKey: k.Effect == control.Guarded})
	}
	return out
}

func (c *Config) tenants() (out []string) {
	for _, t := range c.Settings.Tenants {
		out = append(out, t.Name)
	}
	return out
}

// ParseConfig reads a configuration; what env says of the EDGE variables takes precedence over it.
func ParseConfig(text []byte, env func(string) string) (*Config, error) {
	var file struct {
		Name, Listen, Discovery, Seed string
		Limits                        limits
		Known                         *partnerlist.List
		Settings                      map[string]any
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber() // figures reach the parser as they are written
	if err := dec.Decode(&file); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := &Config{
		stop: plannedStop(), limits: file.Limits, flat: wire.Flatten(file.Settings),
		Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, State: env("EDGE_STATE"), CachedList: file.Known,
		Cores: file.Limits.Cores, Sockets: file.Limits.Sockets, Memory: file.Limits.MemoryMB << 20, Disk: int64(file.Limits.DiskMB * 1e6),
	}
	for _, v := range []struct {
		setting, name string
		to            *string
	}{
		{"name", "EDGE_NAME", &c.Name}, {"listen", "EDGE_LISTEN", &c.Listen},
		{"discovery", "EDGE_DISCOVERY", &c.Discovery}, {"state", "EDGE_STATE", &c.State},
	} {
		if s := env(v.name); s != "" {
			*v.to = s
		} else if *v.to == "" {
			return nil, fmt.Errorf("%s: missing, and %s is not set", v.setting, v.name)
		}
	}
	for setting, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
			return nil, fmt.Errorf("%s: %q is not an address with a port", setting, addr)
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
	if c.Settings, err = wire.ParseSettings(c.flat); err != nil {
		return nil, err
	}
	c.Settings.RiskAfter = wire.RiskAfter
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
		out = append(out, wire.Plain(fmt.Sprint(s)))
	}
	return out
}
