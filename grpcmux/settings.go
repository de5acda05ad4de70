package grpcmux

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strings"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/wire"

	"google.golang.org/grpc/codes"
)

// Settings are what a Core is told at its start.
type Settings struct {
	// Control are the decision module's settings: classes of message, slots, bounds. ParseSettings reads them, and
	// Zones, from the daemon's configuration, whose names and checks they have.
	Control control.Settings
	Zones   []string // names of the zones, in the order of their numbers

	// Routes say of a call's full method name which class it is of, where it goes and what its key is. The most exact
	// one counts.
	Routes []Route

	// Sources tell of endpoints, those whose word on addresses and the like counts more first. The Core runs them; a source
	// serves one Core.
	Sources []Source

	// TurnsAway are codes with which a partner says, also without a told wait, that a call has not run, by the number of
	// its destination: codes.Unavailable where no proxy stands before its servers and no handler of theirs answers so
	// after it has begun. Without one a call that ends so may have run.
	TurnsAway map[int][]codes.Code

	// Folder keeps messages beyond the process, for one Core at a time; empty: a message ends with its process.
	Folder string
	Disk   int64 // bytes that the folder may hold; 0: 64 MiB

	Seed uint64       // of the module's random numbers
	Log  *slog.Logger // nil: slog.Default

	store func(engine.Store) engine.Store // lets a test stand before the folder's journal; nil: nothing does
}

// Route says what the calls of some methods are.
type Route struct {
	// Method is a full method name ("/shop.Orders/Place"), a service with a slash at its end ("/shop.Orders/"), or empty
	// for all.
	Method string

	Class string // name of a class of Settings.Control
	Dest  *int   // number of the destination, 0 to 65535; nil: the one that the client's target names

	// Key is a field of the request that holds the idempotency key, by its names in the .proto file with dots between
	// them ("order.request_id"): a string, bytes or a number. Empty: the key comes from the call's options or metadata.
	Key string
}

const defaultDisk = 64 << 20

// riskAfter is the default of Control.RiskAfter: a program may make unsafe calls alone, none of which would ever try an
// endpoint again that fell silent once.
const riskAfter = 2 * control.Second

// ParseSettings reads the "settings" of the daemon's configuration (JSON), so that one file serves both: Control and
// Zones. An error names the setting at fault as that file has it.
func ParseSettings(config []byte) (Settings, error) {
	var file struct{ Settings map[string]any }
	dec := json.NewDecoder(bytes.NewReader(config))
	dec.UseNumber() // figures reach the parser as they are written
	if err := dec.Decode(&file); err != nil {
		return Settings{}, fmt.Errorf("configuration: %w", err)
	}
	if file.Settings == nil {
		return Settings{}, errors.New("setting settings: missing")
	}
	c, err := wire.ParseSettings(wire.Flatten(file.Settings))
	if err != nil {
		return Settings{}, err
	}
	s := Settings{Control: c}
	zones, _ := file.Settings["dcs"].([]any)
	for _, z := range zones {
		s.Zones = append(s.Zones, wire.Plain(fmt.Sprint(z)))
	}
	return s, nil
}

// check fills what is not set, and returns an error that names the setting at fault.
func (s *Settings) check() error {
	var out *control.SettingError
	switch err := s.Control.Check(); {
	case errors.As(err, &out):
		return fmt.Errorf("grpcmux: setting Control.%s: %g is out of range", out.Field, out.Value)
	case err != nil:
		return fmt.Errorf("grpcmux: %w", err)
	}
	s.Control.Kinds = slices.Clone(s.Control.Kinds)
	for i := range s.Control.Kinds {
		s.Control.Kinds[i].Batch = 1 // gRPC has no call with several messages
	}
	if s.Control.RiskAfter == 0 {
		s.Control.RiskAfter = riskAfter
	}
	if len(s.Sources) == 0 {
		return errors.New("grpcmux: setting Sources: empty, no endpoint would ever be known")
	}
	if i := slices.Index(s.Sources, nil); i >= 0 {
		return fmt.Errorf("grpcmux: setting Sources[%d]: nil", i)
	}
	for i, r := range s.Routes {
		at := fmt.Sprintf("grpcmux: setting Routes[%d].", i)
		switch {
		case r.Method != "" && (r.Method[0] != '/' || strings.Count(r.Method, "/") != 2):
			return fmt.Errorf("%sMethod: %q is neither a full method name nor a service with a slash at its end", at, r.Method)
		case slices.ContainsFunc(s.Routes[:i], func(o Route) bool { return o.Method == r.Method }):
			return fmt.Errorf("%sMethod: %q has a route already", at, r.Method)
		case !slices.ContainsFunc(s.Control.Classes, func(c control.Class) bool { return c.Name == r.Class }):
			return fmt.Errorf("%sClass: %q is unknown", at, r.Class)
		case r.Dest != nil && (*r.Dest < 0 || *r.Dest > math.MaxUint16):
			return fmt.Errorf("%sDest: %d is out of range", at, *r.Dest)
		}
	}
	for dest, list := range s.TurnsAway {
		for _, c := range list {
			if c == codes.OK || c > codes.Unauthenticated {
				return fmt.Errorf("grpcmux: setting TurnsAway[%d]: %v is not a code of an error", dest, c)
			}
		}
	}
	switch {
	case s.Disk < 0:
		return fmt.Errorf("grpcmux: setting Disk: %d is out of range", s.Disk)
	case s.Disk > 0 && s.Folder == "":
		return errors.New("grpcmux: setting Disk: there is no Folder")
	case s.Disk == 0:
		s.Disk = defaultDisk
	}
	if s.Log == nil {
		s.Log = slog.Default()
	}
	return nil
}

// route is what counts for a method, nil if nothing does.
func (s *Settings) route(method string) (best *Route) {
	for i := range s.Routes {
		r := &s.Routes[i]
		fits := r.Method == "" || r.Method == method || strings.HasSuffix(r.Method, "/") && strings.HasPrefix(method, r.Method)
		if fits && (best == nil || len(r.Method) > len(best.Method)) {
			best = r
		}
	}
	return best
}
