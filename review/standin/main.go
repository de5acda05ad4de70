package standin

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// timeLimit is how long a case may run. run.sh ends it a little later.
const timeLimit = 110 * time.Second

// started holds the dispatchers that may have a process or a folder.
var started struct {
	sync.Mutex
	list map[*Dispatcher]bool
}

// Main runs a case: run gets the root of the project, the folder for record.txt, and whether the disruption takes place. It
// reports whether the rule was broken. Main exits with 1 then, with 0 if the rule held, and with 2 if the case could not
// run, also if it is ended from outside or takes too long. It leaves neither processes nor folders.
func Main(run func(root, dir string, trouble bool) (broken bool, err error)) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "want the root of the project and the folder for record.txt")
		os.Exit(2)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case s := <-ended:
			fmt.Println("could not run: ended by", s)
		case <-time.After(timeLimit):
			fmt.Println("could not run: it takes too long")
		}
		removeAll()
		os.Exit(2)
	}()
	broken, err := run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	removeAll()
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

func removeAll() {
	started.Lock()
	defer started.Unlock()
	for d := range started.list {
		if cmd := d.cmd; cmd != nil {
			cmd.Process.Kill()
		}
	}
	for d := range started.list {
		if cmd := d.cmd; cmd != nil {
			select {
			case <-d.exited:
			case <-time.After(2 * time.Second):
			}
		}
		os.RemoveAll(d.Dir)
	}
	started.list = nil
}
