package grpcmux

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	grpctransport "curlewmux/internal/transport/grpc"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Metadata that says of a call what its options do not, named as the daemon's headers are. Id and key go on to the
// partner.
const (
	metaID     = grpctransport.HeaderID
	metaKey    = grpctransport.HeaderKey
	metaTenant = "x-customer"
	metaClass  = "x-qos"
)

// option is a call option of ours: gRPC itself ignores it.
type option struct {
	grpc.EmptyCallOption
	name, value string
}

// ID names a call: two calls of one id in a process are one message, and only the first is sent. Without it, and
// without x-trace-id in the outgoing metadata, one is made.
func ID(id string) grpc.CallOption { return option{name: metaID, value: id} }

// Key is the idempotency key by which the partner knows a repeat, or what a class in order goes by. It counts more than
// the route's field and idempotency-key in the outgoing metadata.
func Key(key string) grpc.CallOption { return option{name: metaKey, value: key} }

// Tenant is the customer for whom a call is made; x-customer in the outgoing metadata says the same.
func Tenant(name string) grpc.CallOption { return option{name: metaTenant, value: name} }

// Class is the call's class, in place of the route's; x-qos in the outgoing metadata says the same.
func Class(name string) grpc.CallOption { return option{name: metaClass, value: name} }

// longest is how many bytes an id or a key may have, as in the daemon.
const longest = 256

// request is a call as the engine takes it.
type request struct {
	engine.Message
	deadline time.Time
	once     bool // its id is ours
	effect   control.Effect
}

// request reads a call: its options first, then its metadata, then its route.
func (v *via) request(ctx context.Context, method string, req any, opts []grpc.CallOption) (request, *fault) {
	set := &v.core.set
	invalid := func(format string, args ...any) (request, *fault) {
		return request{}, &fault{code: codes.InvalidArgument, reason: ReasonInvalid, text: fmt.Sprintf(format, args...)}
	}
	route := set.route(method)
	md, _ := metadata.FromOutgoingContext(ctx)
	said := func(name string) string {
		for i := len(opts) - 1; i >= 0; i-- {
			if o, ok := opts[i].(option); ok && o.name == name {
				return o.value
			}
		}
		if list := md[name]; len(list) > 0 {
			return list[0]
		}
		return ""
	}
	r := request{Message: engine.Message{
		ID: said(metaID), Class: said(metaClass), Tenant: said(metaTenant), Destination: v.dest, Key: said(metaKey),
	}}
	if r.Class == "" && route != nil {
		r.Class = route.Class
	}
	if r.Class == "" {
		return invalid("class: method %s has no route, and the call names none", method)
	}
	if route != nil && route.Dest != nil {
		r.Destination = *route.Dest
	}
	if r.Key == "" && route != nil && route.Key != "" {
		var err error
		if r.Key, err = field(req, route.Key); err != nil {
			return invalid("key: %v", err)
		}
	}
	for _, s := range []struct{ name, value string }{{"id", r.ID}, {"key", r.Key}} {
		if len(s.value) > longest {
			return invalid("%s: over %d bytes", s.name, longest)
		}
		if strings.ContainsFunc(s.value, func(c rune) bool { return c < ' ' || c > '~' }) {
			return invalid("%s: %q can't be metadata", s.name, s.value)
		}
	}
	var class *control.Class
	for i := range set.Control.Classes {
		if set.Control.Classes[i].Name == r.Class {
			class = &set.Control.Classes[i]
		}
	}
	if class == nil {
		return invalid("class: %q is unknown", r.Class)
	}
	r.effect = class.Effect
	r.deadline = time.Now().Add(engine.Duration(class.Deadline))
	if d, ok := ctx.Deadline(); ok && d.Before(r.deadline) {
		r.deadline = d
	}
	if r.ID == "" {
		r.ID, r.once = newID(), true
	}
	// Of calls whose id nobody else has, and that end with the process, the engine needs no body: the request stays its
	// caller's, who waits. Else it needs what tells two calls of one id apart, and a folder what can be sent again.
	if !r.once || set.Folder != "" {
		msg, ok := req.(proto.Message)
		if !ok && set.Folder != "" {
			return invalid("request: %T is no proto.Message, and a folder can keep no other", req)
		}
		body, err := proto.MarshalOptions{Deterministic: true}.Marshal(msg)
		if err != nil {
			return invalid("request: %v", err)
		}
		if r.Body = envelope(v.target, method, body); set.Folder == "" {
			sum := sha256.Sum256(r.Body)
			r.Body = sum[:]
		}
	}
	return r, nil
}

// outgoing adds id and key to the metadata of an attempt, where the caller's own does not hold them.
func outgoing(ctx context.Context, m *engine.Message) context.Context {
	md, _ := metadata.FromOutgoingContext(ctx)
	var add []string
	if got := md[metaID]; len(got) != 1 || got[0] != m.ID {
		add = append(add, metaID, m.ID)
	}
	if got := md[metaKey]; m.Key != "" && (len(got) != 1 || got[0] != m.Key) {
		add = append(add, metaKey, m.Key)
	}
	if len(add) == 0 {
		return ctx
	}
	if len(md[metaID])+len(md[metaKey]) > 0 { // options say otherwise than the metadata: they count
		md = md.Copy()
		md.Set(metaID, m.ID)
		if m.Key != "" {
			md.Set(metaKey, m.Key)
		}
		return metadata.NewOutgoingContext(ctx, md)
	}
	return metadata.AppendToOutgoingContext(ctx, add...)
}

// field is the value of a request's field, by its path.
func field(req any, path string) (string, error) {
	msg, ok := req.(proto.Message)
	if !ok {
		return "", fmt.Errorf("%T is no proto.Message, it has no field %s", req, path)
	}
	m := msg.ProtoReflect()
	names := strings.Split(path, ".")
	for i, name := range names {
		f := m.Descriptor().Fields().ByName(protoreflect.Name(name))
		switch {
		case f == nil:
			return "", fmt.Errorf("%s has no field %s", m.Descriptor().FullName(), name)
		case f.IsList() || f.IsMap():
			return "", fmt.Errorf("field %s of %s has many values", name, m.Descriptor().FullName())
		case i < len(names)-1 && f.Message() == nil:
			return "", fmt.Errorf("field %s of %s has no fields", name, m.Descriptor().FullName())
		case i < len(names)-1:
			m = m.Get(f).Message()
		case f.Message() != nil:
			return "", fmt.Errorf("field %s of %s is a message", name, m.Descriptor().FullName())
		case f.Kind() == protoreflect.BytesKind:
			return fmt.Sprintf("%x", m.Get(f).Bytes()), nil
		case !m.Has(f): // a number that is not set is no key
			return "", nil
		default:
			return m.Get(f).String(), nil
		}
	}
	return "", nil
}

// envelope is a request as the engine and a folder keep it: the client's target, the method and the request's bytes, the
// first two behind their lengths.
func envelope(target, method string, body []byte) []byte {
	b := make([]byte, 0, len(target)+len(method)+len(body)+2*binary.MaxVarintLen32)
	for _, s := range []string{target, method} {
		b = append(binary.AppendUvarint(b, uint64(len(s))), s...)
	}
	return append(b, body...)
}

// open reads an envelope.
func open(b []byte) (target, method string, body []byte, err error) {
	for _, to := range []*string{&target, &method} {
		n, used := binary.Uvarint(b)
		if used <= 0 || n > uint64(len(b)-used) {
			return "", "", nil, fmt.Errorf("grpcmux: a body of %d bytes is no request", len(b))
		}
		*to, b = string(b[used:used+int(n)]), b[used+int(n):]
	}
	return target, method, b, nil
}
