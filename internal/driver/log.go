package driver

import (
	"context"
	"log/slog"

	"curlewmux/engine"
)

// messageLog logs the verdict and the end of each message at level debug. The transports log the attempts.
type messageLog struct {
	log       *slog.Logger
	enabled   bool
	submitted map[engine.Ticket][]*engine.Message // submissions without a verdict
}

func newMessageLog(log *slog.Logger) messageLog {
	return messageLog{
		log: log, enabled: log.Enabled(context.Background(), slog.LevelDebug), submitted: map[engine.Ticket][]*engine.Message{},
	}
}

func (l *messageLog) addSubmission(t engine.Ticket, m *engine.Message) {
	if l.enabled {
		l.submitted[t] = append(l.submitted[t], m)
	}
}

func (l *messageLog) logVerdict(a *engine.Answer) {
	if !l.enabled {
		return
	}
	for _, m := range l.submitted[a.Ticket] {
		l.log.Debug("message submitted", "message", m.ID, "class", m.Class, "dest", m.Destination,
			"verdict", verdictNames[a.Kind], "why", a.Reason)
	}
	delete(l.submitted, a.Ticket)
}

func (l *messageLog) logEnd(f *engine.Done) {
	if l.enabled {
		l.log.Debug("message ended", "message", f.ID, "disposition", dispositionNames[f.Disposition], "doubt", f.InDoubt,
			"why", f.Reason)
	}
}

// verdictNames are the names of verdicts in the log.
var verdictNames = map[engine.VerdictKind]string{
	engine.Accepted: "accepted", engine.Busy: "busy", engine.UnknownDestination: "unknown destination",
	engine.Conflict: "conflict", engine.AlreadyEnded: "already ended", engine.Unconfirmed: "unconfirmed", engine.Invalid: "invalid",
}

// dispositionNames are the names of dispositions in the log.
var dispositionNames = map[engine.Disposition]string{
	engine.Delivered: "delivered", engine.Refused: "refused", engine.Failed: "failed", engine.Closed: "closed",
	engine.Withdrawn: "withdrawn",
}
