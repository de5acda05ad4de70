// Command second runs the cases of the second review. Each is a script of its own: see the folders beside this one.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
)

// lab is what a case has at hand.
type lab struct {
	root, folder string
	rec          *record
	trouble      bool
	broken       []string

	mu   sync.Mutex
	ends []func()
}

// end ends all processes that were started.
func (l *lab) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, end := range l.ends {
		end()
	}
	l.ends = nil
}

// broke notes that the rule was broken.
func (l *lab) broke(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.rec.line("BROKEN", text)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken = append(l.broken, text); len(l.broken) <= 5 {
		fmt.Println("broken:", text)
	}
}

// cannotRun ends a case that could not run.
type cannotRun string

func cannot(format string, args ...any) { panic(cannotRun(fmt.Sprintf(format, args...))) }

var cases = map[string]func(*lab){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE ROOT FOLDER")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(one func(*lab), root, folder string) (code int) {
	tmp, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	l := &lab{root: root, folder: tmp, rec: newRecord(folder), trouble: os.Getenv("TROUBLE") != "0"}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		l.end()
		os.RemoveAll(tmp)
		os.Exit(2)
	}()
	defer func() {
		if v := recover(); v != nil {
			why, ok := v.(cannotRun)
			if !ok {
				panic(v)
			}
			fmt.Println("could not run:", why)
			code = 2
		}
		l.end()
		l.rec.line("exit", code)
		l.rec.close()
		os.RemoveAll(tmp)
	}()
	one(l)
	if len(l.broken) > 0 {
		fmt.Println("the rule was broken", len(l.broken), "times")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}

// start starts a dispatcher that ends with the case.
func (l *lab) start(d *dispatcher) {
	l.mu.Lock()
	l.ends = append(l.ends, d.stop)
	l.mu.Unlock()
	d.start()
}

func num(n int64) string { return strconv.FormatInt(n, 10) }
