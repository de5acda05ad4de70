package node

import (
	"io"
	"log/slog"

	"curlewmux/internal/operator"
)

// NewLog creates the dispatcher's log as the operator's file sets it. If set is nil, the log is text with level info.
// docs/operators/log.md explains the fields.
func NewLog(w io.Writer, settings *operator.Log) *slog.Logger {
	options := &slog.HandlerOptions{Level: settings.Least()}
	if settings != nil && settings.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}
