package endpointslice_test

import (
	"context"
	"log/slog"
	"os"
	"sync"
	"time"

	"curlewmux/membership"
	"curlewmux/membership/endpointslice"
)

// In process, without the companion: sources tell one table, and what changes goes to whoever sends calls.
func Example() {
	access, err := endpointslice.InCluster(os.Getenv)
	if err != nil {
		return
	}
	client, err := endpointslice.NewClient(access)
	if err != nil {
		return
	}
	defer client.Close()
	source, err := endpointslice.New(client, endpointslice.Partner{
		Name: "archive", Namespace: "partners", Selector: "kubernetes.io/service-name=archive", PortName: "http", Destination: 7, Kind: "big-archives",
	}, slog.Default())
	if err != nil {
		return
	}
	table, err := membership.New(membership.Settings{Sources: []string{source.Name()}})
	if err != nil {
		return
	}
	var mu sync.Mutex // a table is not safe for concurrent use, and each source has a goroutine of its own
	source.Run(context.Background(), func(u membership.Update) {
		mu.Lock()
		defer mu.Unlock()
		changes, refused, err := table.Apply(time.Now(), source.Name(), u)
		slog.Info("endpoints", "changed", len(changes), "refused", len(refused), "error", err)
	})
}
