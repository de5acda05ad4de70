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
	UnreadableEntries int           // number of entries that could not be read; they are not in Entries
	Err               error         // error of the first such entry, or of the slice as a whole
	fingerprints      []fingerprint // fingerprints of the entries' JSON texts
}

// fingerprint identifies a JSON text and shows whether it has changed. Two different texts of the same length have the same
// fingerprint with a probability of 1 in 2^64. Nobody can construct such texts, since the seed is random for each process.
type fingerprint struct {
	length int
	hash   uint64
}

var fingerprintSeed = maphash.MakeSeed()

func fingerprintOf(text []byte) fingerprint {
	return fingerprint{len(text), maphash.Bytes(fingerprintSeed, text)}
}

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

// Port is one of a slice's ports.
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

// errWrongType means that a value does not have the type that the API defines.
var errWrongType = errors.New("unexpected type of a field")

// decodeEvent parses one watch event. It returns an error if the line is not JSON or not an event. Errors within the slice
// are returned in Slice.Err. The result shares no memory with line. prior, which may be nil, returns the last known state
// of a slice. Entries whose text has not changed, which are most of them, are copied from it instead of being parsed.
func decodeEvent(line []byte, prior func(key string) Slice) (ev event, err error) {
	d := decoder{scanner: scanner{input: line}, prior: prior}
	d.object(func(key string) {
		switch key {
		case "type":
			ev.Type = eventTypes[d.typeField()]
		case "object":
			ev.object = object{}
			d.decodeObject(&ev.object)
		default:
			d.skip()
		}
	})
	d.expectEnd()
	if d.err != nil {
		return event{}, d.err
	}
	if ev.Type == eventUnknown {
		return event{}, fmt.Errorf("event of an unknown type: %w", errWrongType)
	}
	return ev, nil
}

var eventTypes = map[string]eventType{
	"ADDED": eventAdded, "MODIFIED": eventModified, "DELETED": eventDeleted, "BOOKMARK": eventBookmark, "ERROR": eventError,
}

// decodeSlice parses an EndpointSlice or a Status.
func decodeSlice(text []byte) (o object, err error) {
	d := decoder{scanner: scanner{input: text}}
	d.decodeObject(&o)
	d.expectEnd()
	if d.err != nil {
		return object{}, d.err
	}
	return o, nil
}

// decoder parses objects. It skips values of unexpected types and records the first of them in bad. Only JSON syntax errors
// go to the scanner's err.
type decoder struct {
	scanner
	typeErr   error
	prior     func(key string) Slice
	previous  Slice // last known state of the slice
	expected  int   // index in like.Entries at which the next entry is expected
	lastEntry Entry // previous entry; the next one often has the same zone
}

// reuseOrClone returns old if it equals text, which saves memory, and a copy of text otherwise.
func reuseOrClone(text, old string) string {
	if text == old {
		return old
	}
	return strings.Clone(text)
}

// wrongType records that a field has an unexpected type, and skips its value.
func (d *decoder) wrongType(field string) {
	if d.typeErr == nil {
		d.typeErr = fmt.Errorf("%s: %w", field, errWrongType)
	}
	d.skip()
}

// typeField consumes the value of the field "type" like stringField.
func (d *decoder) typeField() string { return d.stringField("type") }

// stringField consumes a string. null and values of other types give "". The result must be cloned before it is kept.
func (d *decoder) stringField(field string) string {
	switch d.peek() {
	case '"':
		return d.stringValue()
	case 'n':
		d.skip()
	default:
		d.wrongType(field)
	}
	return ""
}

// boolField consumes a boolean. null and values of other types give absent.
func (d *decoder) boolField(field string, absent bool) bool {
	switch d.peek() {
	case 't':
		d.skip()
		return true
	case 'f':
		d.skip()
		return false
	case 'n':
		d.skip()
	default:
		d.wrongType(field)
	}
	return absent
}

// intField consumes an integer. null and values of other types give 0.
func (d *decoder) intField(field string) int {
	switch c := d.peek(); {
	case c == 'n':
		d.skip()
	case c == '-' || '0' <= c && c <= '9':
		text := d.number()
		n, err := strconv.ParseInt(text, 10, 32)
		if err != nil && d.err == nil && d.typeErr == nil {
			d.typeErr = fmt.Errorf("%s: %.20q: %w", field, text, errWrongType)
		}
		return int(n)
	default:
		d.wrongType(field)
	}
	return 0
}

// fields calls field for each key of an object. null and values of other types count as an empty object.
func (d *decoder) fields(name string, field func(key string)) {
	switch d.peek() {
	case '{':
		d.object(field)
	case 'n':
		d.skip()
	default:
		d.wrongType(name)
	}
}

// elements calls element for each element of an array. null and values of other types count as an empty array.
func (d *decoder) elements(name string, element func()) {
	switch d.peek() {
	case '[':
		d.array(element)
	case 'n':
		d.skip()
	default:
		d.wrongType(name)
	}
}

// decodeObject parses an EndpointSlice or a Status. If a key occurs more than once, its last value counts.
func (d *decoder) decodeObject(o *object) {
	d.typeErr = nil
	s := &o.Slice
	d.fields("object", func(key string) {
		switch key {
		case "kind":
			o.Kind = strings.Clone(d.stringField("kind"))
		case "metadata":
			s.Namespace, s.Name, o.Version, o.InitialEnd = "", "", "", false
			d.fields("metadata", func(key string) {
				switch key {
				case "name":
					s.Name = strings.Clone(d.stringField("metadata.name"))
				case "namespace":
					s.Namespace = strings.Clone(d.stringField("metadata.namespace"))
				case "resourceVersion":
					o.Version = strings.Clone(d.stringField("metadata.resourceVersion"))
				case "annotations":
					o.InitialEnd = false
					d.fields("metadata.annotations", func(key string) {
						if key == initialEventsEnd {
							o.InitialEnd = d.stringField("metadata.annotations") == "true"
						} else {
							d.skip()
						}
					})
				default:
					d.skip()
				}
			})
		case "addressType":
			s.AddressType = strings.Clone(d.stringField("addressType"))
		case "endpoints":
			s.Entries, s.fingerprints, s.UnreadableEntries = nil, nil, 0
			if d.previous, d.expected = (Slice{}), 0; d.prior != nil && s.Name != "" {
				d.previous = d.prior(s.key())
			}
			sliceErr := d.typeErr
			var firstErr error
			d.elements("endpoints", func() {
				if s.Entries == nil {
					s.Entries, s.fingerprints = make([]Entry, 0, len(d.previous.Entries)), make([]fingerprint, 0, len(d.previous.Entries))
				}
				if i := d.reuseEntry(); i >= 0 {
					s.Entries, s.fingerprints = append(s.Entries, d.previous.Entries[i]), append(s.fingerprints, d.previous.fingerprints[i])
					return
				}
				d.typeErr = nil
				d.peek()
				from := d.pos
				e := d.entry()
				if d.typeErr == nil && d.err == nil {
					s.Entries, s.fingerprints = append(s.Entries, e), append(s.fingerprints, fingerprintOf(d.input[from:d.pos]))
					d.lastEntry = e
					d.expected++
					return
				}
				if s.UnreadableEntries++; firstErr == nil {
					firstErr = fmt.Errorf("endpoint %d: %w", len(s.Entries)+s.UnreadableEntries, d.typeErr)
				}
				d.typeErr = nil
			})
			if len(s.Entries) == 0 {
				s.Entries, s.fingerprints = nil, nil
			}
			if s.Err = firstErr; sliceErr != nil {
				d.typeErr = sliceErr
			}
		case "ports":
			s.Ports = nil
			d.elements("ports", func() { s.Ports = append(s.Ports, d.port()) })
		case "code":
			o.Status.Code = d.intField("code")
		case "reason":
			o.Status.Reason = strings.Clone(d.stringField("reason"))
		case "message":
			o.Status.Message = strings.Clone(d.stringField("message"))
		case "details":
			o.Status.RetryAfter, o.Status.Cause = 0, ""
			d.fields("details", func(key string) {
				switch key {
				case "retryAfterSeconds":
					o.Status.RetryAfter = d.intField("details.retryAfterSeconds")
				case "causes":
					o.Status.Cause = ""
					d.elements("details.causes", func() {
						d.fields("details.causes", func(key string) {
							if key == "reason" && o.Status.Cause == "" {
								o.Status.Cause = strings.Clone(d.stringField("details.causes.reason"))
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
	if d.typeErr != nil { // the error is outside the entries: the whole slice is unusable
		s.Err, s.Entries = d.typeErr, nil
	}
}

// reuseEntry consumes the next entry if its text is the same as that of an entry in the last known state, and returns the
// index of that entry. It compares with the entry expected here and with its neighbours, since an entry may have been added
// or removed. Otherwise it consumes nothing and returns -1.
func (d *decoder) reuseEntry() int {
	if d.peek() != '{' {
		return -1
	}
	for _, i := range [...]int{d.expected, d.expected + 1, d.expected - 1} {
		if i < 0 || i >= len(d.previous.fingerprints) {
			continue
		}
		// A text that equals that of a complete object is that object, since a complete object has no continuation.
		if want, rest := d.previous.fingerprints[i], d.input[d.pos:]; want.length <= len(rest) && fingerprintOf(rest[:want.length]) == want {
			d.pos += want.length
			d.expected = i + 1
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
				if a := d.stringField("addresses"); n == 0 {
					e.Addr = strings.Clone(a)
				}
				n++
			})
		case "conditions":
			e.Ready, e.Terminating = true, false
			d.fields("conditions", func(key string) {
				switch key {
				case "ready":
					e.Ready = d.boolField("conditions.ready", true)
				case "terminating":
					e.Terminating = d.boolField("conditions.terminating", false)
				default:
					d.skip()
				}
			})
		case "targetRef":
			e.UID, e.Pod = "", false
			d.fields("targetRef", func(key string) {
				switch key {
				case "uid":
					e.UID = strings.Clone(d.stringField("targetRef.uid"))
				case "kind":
					e.Pod = d.stringField("targetRef.kind") == "Pod"
				default:
					d.skip()
				}
			})
		case "zone":
			e.Zone = reuseOrClone(d.stringField("zone"), d.lastEntry.Zone)
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
						} else if name := d.stringField("hints.forZones.name"); e.Hints == "" {
							e.Hints = reuseOrClone(name, d.lastEntry.Hints)
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
			p.Name = strings.Clone(d.stringField("ports.name"))
		case "port":
			p.Number = d.intField("ports.port")
		case "protocol":
			proto := d.stringField("ports.protocol")
			p.TCP = proto == "" || proto == "TCP"
		default:
			d.skip()
		}
	})
	return p
}
