package partnerlist

import (
	"log/slog"
	"time"

	"curlewmux/engine"
	"curlewmux/internal/host"
)

// ListingCallback is a teller for Watch.Start that passes on to an engine's listing what discovery says. Now and then it logs
// names of zones and kinds that the settings don't have. It returns false once the listing does.
func ListingCallback(to engine.MembershipReceiver, names NameIndex, h host.Host, log *slog.Logger) func(*List, error) bool {
	var warned time.Time
	return func(l *List, err error) bool {
		if err != nil {
			return to.Members(&engine.Members{Source: Name, Failed: true})
		}
		m := l.Members(names)
		for i, e := range m.List {
			if now := h.Now(); (e.Zone < 0 || e.Kind < 0) && now.Sub(warned) >= time.Second {
				log.Warn("discovery names an unknown zone or kind", "endpoint", e.ID, "zone", l.Entries[i].Locality,
					"kind", l.Entries[i].Flavor)
				warned = now
			}
		}
		return to.Members(m)
	}
}
