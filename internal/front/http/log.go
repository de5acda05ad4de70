package httpfront

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"curlewmux/internal/host"
)

// seldomHandler is a log handler that passes one line a second and counts the others: clients must not fill the log.
type seldomHandler struct {
	slog.Handler
	state *seldom
}

type seldom struct {
	host host.Host

	mu      sync.Mutex
	last    time.Time
	skipped int
}

// Handle passes a line, or counts it.
func (h *seldomHandler) Handle(ctx context.Context, r slog.Record) error {
	now := h.state.host.Now()
	h.state.mu.Lock()
	if now.Sub(h.state.last) < time.Second {
		h.state.skipped++
		h.state.mu.Unlock()
		return nil
	}
	r.AddAttrs(slog.Int("skipped", h.state.skipped))
	h.state.last, h.state.skipped = now, 0
	h.state.mu.Unlock()
	return h.Handler.Handle(ctx, r)
}
