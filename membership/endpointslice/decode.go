package endpointslice

import (
	"errors"
	"fmt"
	"hash/maphash"
	"strconv"
	"strings"
)

// Slice holds the fields of an EndpointSlice (discovery.k8s.io/v1) that are used.
type Slice struct {
	Namespace, Name   string
	AddressType       string // addressType: IPv4, IPv6 or FQDN
	Entries           []Entry
	Ports             []Port
	UnreadableEntries int   // number of entries that could not be read; they are not in Entries
	Err               error // error of the first such entry, or of the slice as a whole
	sums              []sum // fingerprints of the entries' JSON texts
}

// sum is a fingerprint of a JSON text, which shows whether the text has changed. Two different texts of the same length have
// the same fingerprint with a probability of 1 in 2^64. Nobody can construct such texts, since the seed is random for each
// process.
type sum struct {
	length int
	hash   uint64
}

var sumSeed = maphash.MakeSeed()

func sumOf(text []byte) sum { return sum{len(text), maphash.Bytes(sumSeed, text)} }

// Entry holds the fields of an endpoint in a slice that are used. It is comparable.
type Entry struct {
	Addr        string // the first address; the API defines no meaning for further ones
	UID         string // of targetRef, "" if there is none
	Zone        string
	Hints       string // comma-separated zones that should use it
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

// key returns the slice's namespace and name.
func (s *Slice) key() string { return s.Namespace + "/" + s.Name }

// eventType is the type of a watch event.
type eventType uint8

const (
	eventUnknown eventType = iota
	eventAdded
	eventModified
	eventDeleted
	eventBookmark
	eventError
)

// event is a watch event.
type event struct {
	Type eventType
	object
}

// object is an EndpointSlice or a Status.
type object struct {
	Kind       string
	Version    string // resourceVersion
	InitialEnd bool   // this is the bookmark that ends the initial events of a streaming list
	Slice      Slice
	Status     Status
}

// Status holds the fields of a Status object (apimachinery's meta/v1) that are used.
type Status struct {
	Code       int
	Reason     string
	Message    string
	RetryAfter int    // seconds
	Cause      string // reason of the first cause
}

const initialEventsEnd = "k8s.io/initial-events-end"

// errShape means that a value does not have the type that the API defines.
var errShape = errors.New("unexpected type of a field")

// decodeEvent parses one watch event. It returns an error if the line is not JSON or not an event. Errors within the slice
// are returned in Slice.Err. The result shares no memory with line. prior, which may be nil, returns the last known state
// of a slice. Entries whose text has not changed, which are most of them, are copied from it instead of being parsed.
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

// decodeSlice parses an EndpointSlice or a Status.
func decodeSlice(text []byte) (o object, err error) {
	d := decoder{scanner: scanner{b: text}}
	d.decodeObject(&o)
	d.end()
	if d.err != nil {
		return object{}, d.err
	}
	return o, nil
}

// decoder parses objects. It skips values of unexpected types and records the first of them in bad. Only JSON syntax errors
// go to the scanner's err.
type decoder struct {
	scanner
	bad   error
	prior func(key string) Slice
	like  Slice // last known state of the slice
	at    int   // index in like.Entries at which the next entry is expected
	last  Entry // previous entry; the next one often has the same zone
}

// keep returns old if it equals text, which saves memory, and a copy of text otherwise.
func keep(text, old string) string {
	if text == old {
		return old
	}
	return strings.Clone(text)
}

// misfit records that a field has an unexpected type, and skips its value.
func (d *decoder) misfit(field string) {
	if d.bad == nil {
		d.bad = fmt.Errorf("%s: %w", field, errShape)
	}
	d.skip()
}

// text consumes the value of the field "type" like textOf.
func (d *decoder) text() string { return d.textOf("type") }

// textOf consumes a string. null and values of other types give "". The result must be cloned before it is kept.
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

// flagOf consumes a boolean. null and values of other types give absent.
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

// intOf consumes an integer. null and values of other types give 0.
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

// fields calls field for each key of an object. null and values of other types count as an empty object.
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

// elements calls element for each element of an array. null and values of other types count as an empty array.
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

// decodeObject parses an EndpointSlice or a Status. If a key occurs more than once, its last value counts.
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
	if d.bad != nil { // the error is outside the entries: the whole slice is unusable
		s.Err, s.Entries = d.bad, nil
	}
}

// again consumes the next entry if its text is the same as that of an entry in the last known state, and returns the index
// of that entry. It compares with the entry expected here and with its neighbours, since an entry may have been added or
// removed. Otherwise it consumes nothing and returns -1.
func (d *decoder) again() int {
	if d.next() != '{' {
		return -1
	}
	for _, i := range [...]int{d.at, d.at + 1, d.at - 1} {
		if i < 0 || i >= len(d.like.sums) {
			continue
		}
		// A text that equals that of a complete object is that object, since a complete object has no continuation.
		if want, rest := d.like.sums[i], d.b[d.i:]; want.length <= len(rest) && sumOf(rest[:want.length]) == want {
			d.i += want.length
			d.at = i + 1
			return i
		}
	}
	return -1
}

// entry consumes one endpoint.
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

// port consumes one port.
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
