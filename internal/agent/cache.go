package agent

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"curlewmux/membership"
)

// cache remembers in a file who was listed, so that after a restart those can be told to have left that are no longer
// there. It is no source of endpoints: the hub does not tell what only the cache vouches for.
type cache struct {
	path  string
	most  time.Duration // older than that it is not read
	log   *slog.Logger
	saved int64 // revision that was written last
}

const (
	defaultCacheAge = 10 * time.Minute
	mostCache       = 256 << 20 // bytes
)

func newCache(path string, most time.Duration, log *slog.Logger) *cache {
	if most == 0 {
		most = defaultCacheAge
	}
	return &cache{path: path, most: most, log: log}
}

// cached is the file.
type cached struct {
	Saved    time.Time
	Revision int64
	Sources  map[string][]membership.Endpoint
}

// load puts what the file holds into the table and returns the newest revision of the life before, 0 if it is not known.
// A cache that can't be used is only a loss of comfort: it is logged.
func (c *cache) load(now time.Time, table *membership.Table) (revision int64) {
	if c.path == "" {
		return 0
	}
	in, err := c.read()
	if os.IsNotExist(err) {
		return 0
	}
	if err != nil {
		c.log.Warn("the cache can't be read; starting without it", "error", err)
		return 0
	}
	if age := now.Sub(in.Saved); age > c.most || age < -c.most {
		c.log.Warn("the cache is too old; starting without it", "age", age)
		return in.Revision
	}
	for _, s := range table.Sources() {
		if _, refused, err := table.Restore(now, s.Name, in.Sources[s.Name]); err != nil || len(refused) > 0 {
			c.log.Warn("the cache can't be used in full", "source", s.Name, "refused", len(refused), "error", err)
		}
	}
	return in.Revision
}

func (c *cache) read() (in *cached, err error) {
	f, err := os.Open(c.path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	in = &cached{}
	if err := json.NewDecoder(io.LimitReader(f, mostCache)).Decode(in); err != nil {
		return nil, fmt.Errorf("%s: %w", c.path, err)
	}
	return in, nil
}

// save writes the file if anything has changed since the last time. Until every source has told a whole list the older
// file stays: it knows more.
func (c *cache) save(now time.Time, h *hub) {
	h.mu.Lock()
	if c.path == "" || !h.whole || h.rev == c.saved {
		h.mu.Unlock()
		return
	}
	out := cached{Saved: now, Revision: h.rev, Sources: map[string][]membership.Endpoint{}}
	for _, s := range h.table.Sources() {
		out.Sources[s.Name] = h.table.Dump(s.Name)
	}
	h.mu.Unlock()
	if err := c.write(&out); err != nil {
		c.log.Warn("the cache can't be written", "error", err)
		return
	}
	c.saved = out.Revision
}

// write replaces the file as a whole: a crash leaves the one before.
func (c *cache) write(out *cached) error {
	f, err := os.CreateTemp(filepath.Dir(c.path), filepath.Base(c.path)+"-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // of no use after the rename
	err = json.NewEncoder(f).Encode(out)
	if err2 := f.Close(); err == nil {
		err = err2
	}
	if err != nil {
		return err
	}
	return os.Rename(f.Name(), c.path)
}
