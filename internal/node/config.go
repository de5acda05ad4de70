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

// Config is the configuration of a dispatcher: the file that EDGE_CONFIG names, the EDGE variables and the operator's
// file.
type Config struct {
	Name      string
	Listen    string // address of the HTTP front
	Discovery string // address of the discovery agent
	State     string // path of the state folder
	Seed      uint64
	Memory    int64 // bytes
	Disk      int64 // bytes that the journal may take; less than the limit where undelivered messages have a share
	Sockets   int
	Cores     float64
	// CachedList is the last known endpoint list, which the configuration file holds; nil if it has none.
	CachedList *partnerlist.List
	// Dir replaces the folder State where it is not a folder of this machine.
	Dir          journal.Dir
	Interceptors Interceptors
	Sync         journal.Sync  // when the journal is forced to disk
	SyncInterval time.Duration // used with journal.SyncInterval
	Mail         *Mail         // nil: the dispatcher neither sends nor accepts mail
	// OperatorSetsInstances says that the number of dispatchers comes from the operator's file.
	OperatorSetsInstances bool
	Undelivered           *Undelivered // nil: undelivered messages are not kept
	Ledger                *Ledger      // nil: no ledger is kept
	Settings              control.Settings
	Zones                 []string // names of the zones
	Reports               []string // names of the values in a load report
	stopSchedule          stopSchedule
	limits                limits
	flatSettings          string // the settings in the flat form that package wire parses
}

// limits are the resources that the platform grants the dispatcher.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// ReadConfig reads the file that EDGE_CONFIG names. The other EDGE variables take precedence over the file.
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

// RereadConfig reads the configuration for a reload. It ignores EDGE_DISCOVERY, because the variable still holds the
// address from the start of the process.
func RereadConfig(env func(string) string) (*Config, error) {
	return ReadConfig(func(name string) string {
		if name == "EDGE_DISCOVERY" {
			return ""
		}
		return env(name)
	})
}

// ApplyOperatorFile applies the operator's file. Its error names the setting that does not fit the configuration.
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
		err = c.setInstances(f.Fleet.Instances)
	}
	return err
}

// setInstances sets the number of dispatchers from the operator's file, which overrides the settings.
func (c *Config) setInstances(instances int) error {
	if instances <= c.Settings.Me {
		return fmt.Errorf("fleet.instances: %d dispatchers, and this one has number %d, counted from 0", instances, c.Settings.Me)
	}
	c.Settings.Instances, c.OperatorSetsInstances = instances, true
	return nil
}

// ReapplyOperatorFile applies the settings of the operator's file that can change while the dispatcher runs: the number
// of dispatchers. Its error names the setting.
func (c *Config) ReapplyOperatorFile(f *operator.File) error {
	if f.Fleet == nil {
		return nil
	}
	return c.setInstances(f.Fleet.Instances)
}

// descriptorShares is how the file descriptors are divided.
type descriptorShares struct {
	clients int
	calls   int
	idle    int // idle connections to endpoints
}

const (
	reservedFiles  = 32       // descriptors reserved for other uses than clients and calls
	maxIdlePerCall = 4        // idle connections to endpoints per call
	bytesPerClient = 24 << 10 // memory planned for one client connection; larger requests share a budget

	// A dial takes about 60 us of CPU time. This rate limits dials to an eighth of a core, however many endpoints are cold.
	dialBurst    = 64
	dialInterval = 500 * time.Microsecond

	bodyMemoryDivisor    = 8       // queued bodies may use this fraction (1/n) of the memory
	transitMemoryDivisor = 24      // requests being read may use this fraction (1/n) of the memory
	memoryPerID          = 2 << 10 // bytes of memory per remembered id of a finished message
)

// batchKinds returns, by kind of endpoint, whether it takes batches.
func (c *Config) batchKinds() []bool {
	list := make([]bool, len(c.Settings.Kinds))
	for i := range c.Settings.Kinds {
		list[i] = c.Settings.Kinds[i].Batch > 1
	}
	return list
}

// shareDescriptors divides the file descriptors. Calls get as many as there are slots, but no more than a third.
func (c *Config) shareDescriptors() (s descriptorShares) {
	rest := c.Sockets - min(reservedFiles, c.Sockets/2)
	if c.Mail != nil {
		rest -= c.Mail.sockets()
	}
	s.calls = max(1, min(c.Settings.Slots, rest/3))
	s.idle = min((rest-s.calls)/4, maxIdlePerCall*s.calls)
	s.clients = max(1, min(rest-s.calls-s.idle, int(c.Memory/bytesPerClient)))
	return s
}

// listsArePushed reports whether discovery pushes changes of the list to the agent on this machine. What the agent has
// counts as known here from the start of the process on, also while the agent is silent.
func (c *Config) listsArePushed() bool { return !wire.Subscribes(c.flatSettings) }

// engineSettings returns the settings of the engine.
func (c *Config) engineSettings() engine.Settings {
	settings := engine.Settings{
		Control: c.Settings, Seed: c.Seed, HasStore: true, HoldUntilListed: c.listsArePushed(), MaxBytes: int(c.Memory / bodyMemoryDivisor), MaxIDs: int(c.Memory / memoryPerID),
	}
	if c.Mail != nil {
		settings.KindBytes, settings.ClassRemember = c.Mail.maxCallBytes, c.Mail.rememberTimes
	}
	return settings
}

// nameIndex maps the names of zones and endpoint kinds to their numbers.
func (c *Config) nameIndex() partnerlist.NameIndex {
	return partnerlist.NameIndex{
		Zone: func(name string) int { return slices.Index(c.Zones, name) },
		Kind: func(name string) int {
			return slices.IndexFunc(c.Settings.Kinds, func(k control.Kind) bool { return k.Name == name })
		},
	}
}

// classes returns the message classes as the HTTP front needs them.
func (c *Config) classes() (out []httpfront.Class) {
	for _, k := range c.Settings.Classes {
		out = append(out, httpfront.Class{Name: k.Name, NeedsKey: k.Effect == control.Guarded})
	}
	return out
}

// tenants returns the names of the tenants.
func (c *Config) tenants() (out []string) {
	for _, t := range c.Settings.Tenants {
		out = append(out, t.Name)
	}
	return out
}

// ParseConfig parses a configuration. The EDGE variables that env returns take precedence over it.
func ParseConfig(text []byte, env func(string) string) (*Config, error) {
	var file struct {
		Name, Listen, Discovery, Seed string
		Limits                        limits
		Known                         *partnerlist.List
		Settings                      map[string]any
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber() // numbers reach the settings parser as they are written
	if err := dec.Decode(&file); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := &Config{
		stopSchedule: defaultStopSchedule(), limits: file.Limits, flatSettings: wire.Flatten(file.Settings),
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
	if c.Settings, err = wire.ParseSettings(c.flatSettings); err != nil {
		return nil, err
	}
	c.Settings.RiskAfter = wire.RiskAfter
	c.Zones = plainNames(file.Settings["dcs"])
	if report, ok := file.Settings["report"].(map[string]any); ok {
		c.Reports = plainNames(report["names"])
	}
	return c, nil
}

// plainNames returns the strings of a JSON list, spelled as in the flat form of the settings.
func plainNames(v any) (out []string) {
	list, _ := v.([]any)
	for _, s := range list {
		out = append(out, wire.Plain(fmt.Sprint(s)))
	}
	return out
}
