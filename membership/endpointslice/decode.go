package endpointslice

import (
	"errors"
	"fmt"
	"hash/maphash"
	"strconv"
	"strings"
)

// Slice is what is used of an EndpointSlice (discovery.k8s.io/v1).
type Slice struct {
	Namespace, Name   string
	AddressType       string // addressType: IPv4, IPv6 or FQDN
	Entries           []Entry
	Ports             []Port
	UnreadableEntries int   // entries that could not be read; they are left out
	Err               error // why the first of them, or the slice as a whole, could not be read
	sums              []sum // of the entries' texts
}

// sum tells whether a text is the one that was read before, without keeping it. Two texts of one length are taken for the
// same by mistake once in 2^64 times, whoever wrote them: the seed is this process's own.
type sum struct {
	length int
	hash   uint64
}

var sumSeed = maphash.MakeSeed()

func sumOf(text []byte) sum { return sum{len(text), maphash.Bytes(sumSeed, text)} }

// Entry is what is used of one of its endpoints. It is comparable.
type Entry struct {
	Addr        string // the first address; the API defines no meaning for more
	UID         string // of targetRef, "" if there is none
	Zone        string
	Hints       string // zones that should use it, comma-separated
	Pod         bool   // targetRef is a Pod
	Ready       bool   // true if absent
	Terminating bool   // false if absent
}

// PortName is one of a slice's ports.
type Port struct {
	Name   string // "" if absent
	Number int    // 0 if absent
	TCP    bool   // true if the protocol is absent
}

// key names a slice.
func (s *Slice) key() string { return s.Namespace + "/" + s.Name }

// eventType is what a watch says of an object.
type eventType uint8

const (
	eventUnknown eventType = iota
	eventAdded
	eventModified
	eventDeleted
	eventBookmark
	eventError
)

// event is one event of a watch.
type event struct {
	Type eventType
	object
}

// object is an EndpointSlice, or a Status.
type object struct {
	Kind       string
	Version    string // resourceVersion
	InitialEnd bool   // a bookmark at the end of the initial events of a streaming list
	Slice      Slice
	Status     Status
}

// Status is what is used of a Status object (apimachinery's meta/v1).
type Status struct {
	Code       int
	Reason     string
	Message    string
	RetryAfter int    // seconds
	Cause      string // reason of the first cause
}

const initialEventsEnd = "k8s.io/initial-events-end"

// errShape is a value that is not of the type that the API gives it.
var errShape = errors.New("a field is not of its type")

// decodeEvent reads one event of a watch. Its error means that the line is not JSON or no event; faults within the slice
// are told in Slice.Err. Nothing that it returns lies in line. prior, which may be nil, gives the newest state that is
// known of a slice: an entry whose text has not changed since is not read again, which is most of them.
func decodeEvent(line []byte, prior func(key string) Slice) (ev event, err error) {
	d := decoder{scanner: scanner{b: line}, prior: prior}
	d.object(func(key string) {
		switch key {
		case "type":
			ev.Type = eventTypes[d.text()]
		case "object":
			ev.object = object{}
			d.decodeObject(&ev.object)
		default:
			d.skip()
		}
	})
	d.end()
	if d.err != nil {
		return event{}, d.err
	}
	if ev.Type == eventUnknown {
		return event{}, fmt.Errorf("event of an unknown type: %w", errShape)
	}
	return ev, nil
}

var eventTypes = map[string]eventType{
	"ADDED": eventAdded, "MODIFIED": eventModified, "DELETED": eventDeleted, "BOOKMARK": eventBookmark, "ERROR": eventError,
}

// decodeSlice reads one EndpointSlice, or one Status.
func decodeSlice(text []byte) (o object, err error) {
	d := decoder{scanner: scanner{b: text}}
	d.decodeObject(&o)
	d.end()
	if d.err != nil {
		return object{}, d.err
	}
	return o, nil
}

// decoder reads objects. A value of another type than the API's is skipped and noted in bad; only faults of the JSON
// itself are the scanner's err.
type decoder struct {
	scanner
	bad   error
	prior func(key string) Slice
	like  Slice // the slice's state before
	at    int   // in like.Entries: where the next entry is expected
	last  Entry // the entry before: the next is often of the same zone
}

// keep is a copy of a text, or one that is at hand already.
func keep(text, old string) string {
	if text == old {
		return old
	}
	return strings.Clone(text)
}

func (d *decoder) misfit(field string) {
	if d.bad == nil {
		d.bad = fmt.Errorf("%s: %w", field, errShape)
	}
	d.skip()
}

// text takes a string, or null or an unfit value as "". It must be cloned before it is kept.
func (d *decoder) text() string { return d.textOf("type") }

func (d *decoder) textOf(field string) string {
	switch d.next() {
	case '"':
		return d.str()
	case 'n':
		d.skip()
	default:
		d.misfit(field)
	}
	return ""
}

func (d *decoder) flagOf(field string, absent bool) bool {
	switch d.next() {
	case 't':
		d.skip()
		return true
	case 'f':
		d.skip()
		return false
	case 'n':
		d.skip()
	default:
		d.misfit(field)
	}
	return absent
}

func (d *decoder) intOf(field string) int {
	switch c := d.next(); {
	case c == 'n':
		d.skip()
	case c == '-' || '0' <= c && c <= '9':
		text := d.number()
		n, err := strconv.ParseInt(text, 10, 32)
		if err != nil && d.err == nil && d.bad == nil {
			d.bad = fmt.Errorf("%s: %.20q: %w", field, text, errShape)
		}
		return int(n)
	default:
		d.misfit(field)
	}
	return 0
}

// fields calls field for each key of an object; null and unfit values are taken as an empty one.
func (d *decoder) fields(name string, field func(key string)) {
	switch d.next() {
	case '{':
		d.object(field)
	case 'n':
		d.skip()
	default:
		d.misfit(name)
	}
}

func (d *decoder) elements(name string, element func()) {
	switch d.next() {
	case '[':
		d.array(element)
	case 'n':
		d.skip()
	default:
		d.misfit(name)
	}
}

func (d *decoder) decodeObject(o *object) {
	d.bad = nil
	s := &o.Slice
	d.fields("object", func(key string) {
		switch key {
		case "kind":
			o.Kind = strings.Clone(d.textOf("kind"))
		case "metadata":
			s.Namespace, s.Name, o.Version, o.InitialEnd = "", "", "", false
			d.fields("metadata", func(key string) {
				switch key {
				case "name":
					s.Name = strings.Clone(d.textOf("metadata.name"))
				case "namespace":
					s.Namespace = strings.Clone(d.textOf("metadata.namespace"))
				case "resourceVersion":
					o.Version = strings.Clone(d.textOf("metadata.resourceVersion"))
				case "annotations":
					o.InitialEnd = false
					d.fields("metadata.annotations", func(key string) {
						if key == initialEventsEnd {
							o.InitialEnd = d.textOf("metadata.annotations") == "true"
						} else {
							d.skip()
						}
					})
				default:
					d.skip()
				}
			})
		case "addressType":
			s.AddressType = strings.Clone(d.textOf("addressType"))
		case "endpoints":
			s.Entries, s.sums, s.UnreadableEntries = nil, nil, 0
			if d.like, d.at = (Slice{}), 0; d.prior != nil && s.Name != "" {
				d.like = d.prior(s.key())
			}
			slice := d.bad
			var first error
			d.elements("endpoints", func() {
				if s.Entries == nil {
					s.Entries, s.sums = make([]Entry, 0, len(d.like.Entries)), make([]sum, 0, len(d.like.Entries))
				}
				if i := d.again(); i >= 0 {
					s.Entries, s.sums = append(s.Entries, d.like.Entries[i]), append(s.sums, d.like.sums[i])
					return
				}
				d.bad = nil
				d.next()
				from := d.i
				e := d.entry()
				if d.bad == nil && d.err == nil {
					s.Entries, s.sums = append(s.Entries, e), append(s.sums, sumOf(d.b[from:d.i]))
					d.last = e
					d.at++
					return
				}
				if s.UnreadableEntries++; first == nil {
					first = fmt.Errorf("endpoint %d: %w", len(s.Entries)+s.UnreadableEntries, d.bad)
				}
				d.bad = nil
			})
			if len(s.Entries) == 0 {
				s.Entries, s.sums = nil, nil
			}
			if s.Err = first; slice != nil {
				d.bad = slice
			}
		case "ports":
			s.Ports = nil
			d.elements("ports", func() { s.Ports = append(s.Ports, d.port()) })
		case "code":
			o.Status.Code = d.intOf("code")
		case "reason":
			o.Status.Reason = strings.Clone(d.textOf("reason"))
		case "message":
			o.Status.Message = strings.Clone(d.textOf("message"))
		case "details":
			o.Status.RetryAfter, o.Status.Cause = 0, ""
			d.fields("details", func(key string) {
				switch key {
				case "retryAfterSeconds":
					o.Status.RetryAfter = d.intOf("details.retryAfterSeconds")
				case "causes":
					o.Status.Cause = ""
					d.elements("details.causes", func() {
						d.fields("details.causes", func(key string) {
							if key == "reason" && o.Status.Cause == "" {
								o.Status.Cause = strings.Clone(d.textOf("details.causes.reason"))
							} else {
								d.skip()
							}
						})
					})
				default:
					d.skip()
				}
			})
		default:
			d.skip()
		}
	})
	if d.bad != nil { // outside the entries: the slice as a whole can't be trusted
		s.Err, s.Entries = d.bad, nil
	}
}

// again takes the next entry if its text is that of one that was there before: of the one expected here, or of its
// neighbours, where one came or went. It returns which, or -1 and takes nothing.
func (d *decoder) again() int {
	if d.next() != '{' {
		return -1
	}
	for _, i := range [...]int{d.at, d.at + 1, d.at - 1} {
		if i < 0 || i >= len(d.like.sums) {
			continue
		}
		// What has the text of an object that was read to its end is that object: nothing can follow within it.
		if want, rest := d.like.sums[i], d.b[d.i:]; want.length <= len(rest) && sumOf(rest[:want.length]) == want {
			d.i += want.length
			d.at = i + 1
			return i
		}
	}
	return -1
}

// entry takes one endpoint.
func (d *decoder) entry() (e Entry) {
	e.Ready = true
	d.fields("endpoint", func(key string) {
		switch key {
		case "addresses":
			e.Addr = ""
			n := 0
			d.elements("addresses", func() {
				if a := d.textOf("addresses"); n == 0 {
					e.Addr = strings.Clone(a)
				}
				n++
			})
		case "conditions":
			e.Ready, e.Terminating = true, false
			d.fields("conditions", func(key string) {
				switch key {
				case "ready":
					e.Ready = d.flagOf("conditions.ready", true)
				case "terminating":
					e.Terminating = d.flagOf("conditions.terminating", false)
				default:
					d.skip()
				}
			})
		case "targetRef":
			e.UID, e.Pod = "", false
			d.fields("targetRef", func(key string) {
				switch key {
				case "uid":
					e.UID = strings.Clone(d.textOf("targetRef.uid"))
				case "kind":
					e.Pod = d.textOf("targetRef.kind") == "Pod"
				default:
					d.skip()
				}
			})
		case "zone":
			e.Zone = keep(d.textOf("zone"), d.last.Zone)
		case "hints":
			e.Hints = ""
			d.fields("hints", func(key string) {
				if key != "forZones" {
					d.skip()
					return
				}
				e.Hints = ""
				d.elements("hints.forZones", func() {
					d.fields("hints.forZones", func(key string) {
						if key != "name" {
							d.skip()
						} else if name := d.textOf("hints.forZones.name"); e.Hints == "" {
							e.Hints = keep(name, d.last.Hints)
						} else {
							e.Hints += "," + name
						}
					})
				})
			})
		default:
			d.skip()
		}
	})
	return e
}

func (d *decoder) port() (p Port) {
	p.TCP = true
	d.fields("ports", func(key string) {
		switch key {
		case "name":
			p.Name = strings.Clone(d.textOf("ports.name"))
		case "port":
			p.Number = d.intOf("ports.port")
		case "protocol":
			proto := d.textOf("ports.protocol")
			p.TCP = proto == "" || proto == "TCP"
		default:
			d.skip()
		}
	})
	return p
}
