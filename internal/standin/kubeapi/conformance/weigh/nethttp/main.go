// Command nethttp reads the same with the project's own source and keeps them in a membership table.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"

	"curlewmux/internal/standin/kubeapi/conformance/weigh"
	"curlewmux/membership"
	"curlewmux/membership/endpointslice"
)

func main() {
	c, err := endpointslice.NewClient(endpointslice.Access{Server: os.Args[1]})
	if err != nil {
		panic(err)
	}
	s, err := endpointslice.New(c, endpointslice.Partner{Name: "all", Namespace: "partners", Selector: "kubernetes.io/service-name", PortName: "http"}, slog.Default())
	if err != nil {
		panic(err)
	}
	table, err := membership.New(membership.Settings{Sources: []string{s.Name()}})
	if err != nil {
		panic(err)
	}
	var mu sync.Mutex
	go s.Run(context.Background(), func(u membership.Update) {
		mu.Lock()
		defer mu.Unlock()
		table.Apply(time.Now(), s.Name(), u)
	})
	weigh.Print(func() string {
		mu.Lock()
		defer mu.Unlock()
		return fmt.Sprint(len(table.List()))
	})
}
