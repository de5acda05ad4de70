package host

import (
	"errors"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

func TestAnInboxKeepsTheOrderOfEachPutter(t *testing.T) {
	t.Parallel()
	b := System{}.NewInbox()
	var all sync.WaitGroup
	for p := range 4 {
		all.Go(func() {
			for i := range 1000 {
				b.Put([2]int{p, i})
			}
		})
	}
	next := make([]int, 4)
	for got := 0; got < 4000; {
		list := b.Take(nil, time.Now().Add(10*time.Second))
		if len(list) == 0 {
			t.Fatalf("after %d of 4000 nothing more comes", got)
		}
		for _, v := range list {
			at := v.([2]int)
			if next[at[0]] != at[1] {
				t.Fatalf("putter %d: %d came when %d was due", at[0], at[1], next[at[0]])
			}
			next[at[0]]++
		}
		got += len(list)
	}
	all.Wait()
}

func TestAWaitAtAnInboxEndsByItsTimeAndByClose(t *testing.T) {
	t.Parallel()
	b := System{}.NewInbox()
	if got := b.Take([]any{1}, time.Now().Add(time.Millisecond)); !slices.Equal(got, []any{1}) {
		t.Errorf("by its time: %v", got)
	}
	back := make(chan []any)
	go func() { back <- b.Take(nil, time.Time{}) }()
	b.Close()
	if got := <-back; len(got) > 0 {
		t.Errorf("by Close: %v", got)
	}
	if b.Put(1) {
		t.Error("a closed inbox takes something")
	}
	if c := (System{}).NewInbox(); !c.Put(7) || !slices.Equal(c.Close(), []any{7}) {
		t.Error("what nobody took is not returned")
	}
}

func TestAnAbortedDialComesBack(t *testing.T) {
	t.Parallel()
	// A listener whose backlog is full leaves further dials without an answer; one that is aborted first never starts.
	abort := &Abort{}
	abort.Do()
	if _, err := (System{}).Dial("127.0.0.1:1", 0, abort); !errors.Is(err, ErrAborted) {
		t.Errorf("dial after the abort: %v", err)
	}
}

func TestAbortRunsWhatWasSetLastOnce(t *testing.T) {
	t.Parallel()
	var a Abort
	first, second, late := 0, 0, 0
	a.On(func() { first++ })
	a.On(func() { second++ })
	a.Do()
	a.Do()
	a.On(func() { late++ })
	if first != 0 || second != 1 || late != 1 || !a.Done() {
		t.Errorf("first %d, second %d, late %d, done %v", first, second, late, a.Done())
	}
}

func TestReadableSeesBytesAndTheEnd(t *testing.T) {
	t.Parallel()
	l, err := System{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := System{}.Dial(l.Addr().String(), time.Second, &Abort{})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if Readable(c) {
		t.Error("readable with nothing there")
	}
	await(t, c, func() error { _, err := far.Write([]byte("x")); return err })
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	await(t, c, far.Close)
}

// await does something at the far side and waits until it can be seen here.
func await(t *testing.T, c net.Conn, do func() error) {
	t.Helper()
	if err := do(); err != nil {
		t.Fatal(err)
	}
	limit := time.Now().Add(5 * time.Second)
	for !Readable(c) {
		if time.Now().After(limit) {
			t.Fatal("never readable")
		}
		time.Sleep(time.Millisecond)
	}
}
