package judge

import (
	"container/heap"
	"time"
)

// dispatcher is one, over all its processes.
type dispatcher struct {
	name     string
	life     int           // number of its newest process
	told     bool          // that one was told to stop
	died     bool          // that one has ended
	killed   bool          // by SIGKILL, or with its machine
	away     bool          // from SIGTERM or its end until it is ready again
	nothing  time.Duration // nothing is overdue before this
	parked   []*message    // overdue, but for the restart
	messages []*message    // whose owner it is or was, some of them closed
	held     map[int]int   // messages owed, by destination
	calls    []*call       // out, as far as it knows; some have ended
	list     list
	turns    map[string]*turn
	waits    map[*place][]wait
	saw      map[*place]int // its life that saw the last outage, or the one at hand
}

func (j *Judge) dispatcher(name string) *dispatcher {
	d := j.dispatchers[name]
	if d == nil {
		d = &dispatcher{name: name, held: map[int]int{}, turns: map[string]*turn{}, waits: map[*place][]wait{}, saw: map[*place]int{}}
		d.list.init()
		j.dispatchers[name] = d
		j.inTurn = append(j.inTurn, d)
	}
	return d
}

func (s Started) apply(j *Judge) {
	d := j.dispatcher(s.Dispatcher)
	if d.life > 0 {
		if !d.died {
			j.nonsense("%s: a process began before the last one ended", d.name)
		}
		j.count(Restarts)
	}
	d.life++
	d.told, d.died, d.killed, d.away = false, false, false, true
	d.list.forget()
}

func (r Ready) apply(j *Judge) {
	d := j.dispatcher(r.Dispatcher)
	if d.away = false; d.life > 1 {
		d.nothing = j.now + j.set.Ready + j.set.Slack
	}
	for _, m := range d.parked {
		heap.Push(&j.due, due{d.nothing, m})
	}
	d.parked = d.parked[:0]
}

func (s Stopping) apply(j *Judge) {
	d := j.dispatcher(s.Dispatcher)
	d.told, d.away = true, true
}

func (e Died) apply(j *Judge) {
	d := j.dispatcher(e.Dispatcher)
	if e.Cause == Exited && !d.told {
		j.broke(Crash, d, nil, nil, "its process ended by itself; it was not told to stop")
	}
	d.died, d.killed, d.away = true, e.Cause != Exited, true
	for _, c := range d.calls {
		j.cut(c)
	}
	d.calls = d.calls[:0]
	open := d.messages[:0]
	for _, m := range d.messages {
		switch {
		case m.closed:
			continue
		case e.Cause == Lost:
			j.count(LostWithMachine)
			j.close(m)
			continue
		}
		j.count(HeldOverRestart)
		open = append(open, m)
	}
	clear(d.messages[len(open):])
	d.messages = open
}

func (r Residue) apply(j *Judge) {
	if r.Got > r.Most {
		j.broke(Residues, j.dispatcher(r.Dispatcher), nil, nil, "%s at the end: %d; allowed: %d", r.What, r.Got, r.Most)
	}
}
