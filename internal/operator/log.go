package operator

import (
	"fmt"
	"log/slog"
)

// Log is how a program's log lines, which go to standard error, are written.
type Log struct {
	Format string `toml:"format"` // text or json; "" is text
	Level  string `toml:"level"`  // debug, info, warn or error: what is below it is left out; "" is info
}

var levels = map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError}

// Least is the lowest level that is written; nil is info.
func (l *Log) Least() slog.Level {
	if l == nil {
		return slog.LevelInfo
	}
	return levels[l.Level]
}

// check also puts defaults in.
func (l *Log) check() error {
	if l == nil {
		return nil
	}
	switch l.Format {
	case "":
		l.Format = "text"
	case "text", "json":
	default:
		return fmt.Errorf(`log.format: %.40q is neither "text" nor "json"`, l.Format)
	}
	if l.Level == "" {
		l.Level = "info"
	}
	if _, ok := levels[l.Level]; !ok {
		return fmt.Errorf(`log.level: %.40q is none of "debug", "info", "warn" and "error"`, l.Level)
	}
	return nil
}
