package judge

import "time"

// list is what a dispatcher has been told of endpoints.
type list struct {
	names map[string]*naming   // the newest of each endpoint
	at    map[string][]*naming // all that an address ever had
	all   []*naming
	turn  int // of the newest whole list
}

// naming is an endpoint at an address for a destination, as the list had it.
type naming struct {
	addr   string
	dest   int
	gone   bool // told, by this process's list, to be leaving or to have left
	goneAt time.Duration
	turn   int   // the last whole list that had it
	start  int64 // of its process
}

func (l *list) init() { l.names, l.at = map[string]*naming{}, map[string][]*naming{} }

// forget drops what a process had been told: the next one has been told of nothing. The names it had may still be in its
// folder.
func (l *list) forget() {
	for _, n := range l.all {
		n.gone = false
	}
}

func (e Listed) apply(j *Judge) {
	d := j.dispatcher(e.Dispatcher)
	l := &d.list
	l.turn++
	for _, m := range e.Members {
		n := l.names[m.ID]
		if n == nil || n.addr != m.Addr || n.dest != m.Dest {
			if n != nil {
				j.leaves(d, n)
			}
			n = &naming{addr: m.Addr, dest: m.Dest}
			l.names[m.ID] = n
			l.at[m.Addr] = append(l.at[m.Addr], n)
			l.all = append(l.all, n)
		}
		n.turn, n.start = l.turn, m.Started
		if m.Phase == Active {
			n.gone = false
		} else {
			j.leaves(d, n)
		}
	}
	j.takeOver(d, e.Members)
	if !e.Whole {
		return
	}
	for _, n := range l.all {
		if n.turn != l.turn {
			j.leaves(d, n)
		}
	}
}

// takeOver notes that the endpoints at an address are gone that started before a new one of another destination.
func (j *Judge) takeOver(d *dispatcher, list []Member) {
	for _, m := range list {
		if m.Phase != Active {
			continue
		}
		for _, n := range d.list.at[m.Addr] {
			if n.dest != m.Dest && n.start < m.Started {
				j.leaves(d, n)
			}
		}
	}
}

// leaves notes that a dispatcher is told that an endpoint takes nothing new.
func (j *Judge) leaves(d *dispatcher, n *naming) {
	if n.gone {
		return
	}
	n.gone, n.goneAt = true, j.now
	if d.held[n.dest] > 0 {
		j.count(DrainsTold)
	}
}

// listed judges where a call goes: to an address that the list has for the destinations of its messages, and that it did
// not take back too long ago. The list is all that a dispatcher can know: who has the address now is not judged.
func (j *Judge) listed(c *call) {
	var last *naming // the one taken back last
	inTime := false
	for _, n := range c.d.list.at[c.addr] {
		if c.has(n.dest) {
			if last == nil || n.goneAt > last.goneAt {
				last = n
			}
			if !n.gone {
				return
			}
			inTime = inTime || c.first <= n.goneAt+j.set.Drain+j.set.Slack
		}
	}
	switch {
	case last == nil:
		j.broke(Calls, c.d, c.message(), c.to, "%s was never listed for its destination", c.addr)
	case inTime:
		j.count(CallsInDrain)
	default:
		j.broke(Drains, c.d, c.message(), c.to, "a send began %v after the dispatcher was told that %s takes nothing new; allowed: %v",
			c.first-last.goneAt, c.addr, j.set.Drain+j.set.Slack)
	}
}
