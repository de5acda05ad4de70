package node

import (
	"cmp"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	mailfront "curlewmux/internal/front/mail"
	"curlewmux/internal/host"
	"curlewmux/internal/mail"
	"curlewmux/internal/operator"
	mailtransport "curlewmux/internal/transport/mail"
	"curlewmux/internal/wire"
	"curlewmux/membership/partnerlist"
)

// Mail is what makes a dispatcher speak SMTP and LMTP. ReadMail makes it.
type Mail struct {
	partners   map[int]mailtransport.Partner // by the number of the kind
	callBytes  []int                         // of a kind, 0: as usual
	name       string
	front      *mailfront.Settings // nil: no mails are taken
	smtp, lmtp string
	remember   []engine.Time // of a class, beyond a message's time
}

const (
	mailIdle  = 32  // idle connections to mail servers, at most
	mailConns = 100 // of clients, unless set otherwise; no more than a quarter of the sockets
)

// ReadMail reads what the operator's file says of mail against the configuration: names must be known there, and files
// be readable. Its errors name the setting.
func ReadMail(m *operator.Mail, c *Config) (*Mail, error) {
	out := &Mail{partners: map[int]mailtransport.Partner{}, name: m.Name, callBytes: make([]int, len(c.Settings.Kinds))}
	for i := range m.Partners {
		p := &m.Partners[i]
		at := fmt.Sprintf("mail.partner[%d] (%s)", i, p.Kind)
		kind := c.names().Kind(wire.Plain(p.Kind))
		if kind < 0 {
			return nil, fmt.Errorf("%s.kind: there is no such kind", at)
		}
		var err error
		if out.partners[kind], err = readPartner(at, p); err != nil {
			return nil, err
		}
		out.callBytes[kind] = p.CallBytes
	}
	if m.Front == nil {
		return out, nil
	}
	f := m.Front
	out.smtp, out.lmtp = f.SMTP, f.LMTP
	out.remember = make([]engine.Time, len(c.Settings.Classes))
	remember := engine.Time(float64(f.Remember) * float64(control.Second))
	out.front = &mailfront.Settings{
		Name: m.Name, Classes: map[string]mailfront.Class{}, Size: f.Most, Conns: cmp.Or(f.Connections, min(mailConns, c.Sockets/4)),
		Transit: c.Memory / transitShare,
	}
	for _, k := range c.Settings.Classes {
		out.front.Classes[k.Name] = mailfront.Class{NeedsID: k.Effect != control.Free}
	}
	if f.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
		if err != nil {
			return nil, fmt.Errorf("mail.front.certificate, key: %w", err)
		}
		out.front.TLS = &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}
	}
	if out.sockets() >= c.Sockets/2 {
		return nil, fmt.Errorf("mail.front.connections: %d leave too few of %d sockets", out.front.Conns, c.Sockets)
	}
	for i, r := range m.Routes {
		at := fmt.Sprintf("mail.route[%d] (%s)", i, r.Recipient)
		class, tenant := wire.Plain(r.Class), wire.Plain(r.Tenant)
		if _, ok := out.front.Classes[class]; !ok {
			return nil, fmt.Errorf("%s.class: %q is unknown", at, r.Class)
		}
		if len(c.Settings.Tenants) > 0 && !slices.ContainsFunc(c.Settings.Tenants, func(t control.Tenant) bool { return t.Name == tenant }) {
			return nil, fmt.Errorf("%s.tenant: %q is unknown", at, r.Tenant)
		}
		for i := range c.Settings.Classes { // those that mails may come with
			if c.Settings.Classes[i].Name == class || r.ClassField != "" {
				out.remember[i] = remember
			}
		}
		out.front.Routes = append(out.front.Routes, mailfront.Route{
			Recipient: r.Recipient, Dest: *r.Dest, Class: class, Tenant: tenant, Expires: r.Expires.Duration(),
			ClassField: r.ClassField, TenantField: r.TenantField, ExpiresField: r.ExpiresField,
		})
	}
	return out, nil
}

// sockets is how many descriptors mail takes beside the calls.
func (m *Mail) sockets() int {
	if m.front == nil {
		return mailIdle
	}
	return mailIdle + m.front.Conns + 2
}

// lockedRandom lets several sessions draw from one source.
func lockedRandom(r *rand.Rand) func() uint64 {
	var mu sync.Mutex
	return func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return r.Uint64()
	}
}

func readPartner(at string, p *operator.MailPartner) (out mailtransport.Partner, err error) {
	out = mailtransport.Partner{
		Protocol: map[string]mail.Protocol{"smtp": mail.SMTP, "lmtp": mail.LMTP}[p.Protocol],
		TLS: map[string]mailtransport.TLS{
			"off": mailtransport.TLSOff, "opportunistic": mailtransport.TLSOpportunistic,
			"required": mailtransport.TLSRequired, "implicit": mailtransport.TLSImplicit,
		}[p.TLS],
		Config: &tls.Config{MinVersion: tls.VersionTLS12, ServerName: p.ServerName}, User: p.User, PerConnection: p.PerConnection,
		BusyWait: p.BusyWait.Duration(), GreyWait: p.GreyWait.Duration(),
	}
	if p.CA != "" {
		text, err := os.ReadFile(p.CA)
		if err != nil {
			return out, fmt.Errorf("%s.ca: %w", at, err)
		}
		out.Config.RootCAs = x509.NewCertPool()
		if !out.Config.RootCAs.AppendCertsFromPEM(text) {
			return out, fmt.Errorf("%s.ca: %s holds no certificate", at, p.CA)
		}
	}
	if p.PasswordFile != "" {
		text, err := os.ReadFile(p.PasswordFile)
		if err != nil {
			return out, fmt.Errorf("%s.password_file: %w", at, err)
		}
		if out.Password = strings.TrimRight(string(text), "\r\n"); out.Password == "" {
			return out, fmt.Errorf("%s.password_file: %s is empty", at, p.PasswordFile)
		}
	}
	return out, nil
}

// mailParts are what a node has beside the rest where mail is on.
type mailParts struct {
	set       *Mail
	transport *mailtransport.Transport
	front     *mailfront.Front // nil: no mails are taken
	served    host.Inbox       // gets a value for each listener that is served no more
	listeners []mailListener
	stopped   host.Inbox // gets a value once the front let its clients go
}

type mailListener struct {
	net.Listener
	protocol mail.Protocol
}

// listenMail opens the mail front's listeners, ahead of the state folder.
func (n *Node) listenMail() error {
	if n.cfg.Mail == nil {
		return nil
	}
	n.mail = &mailParts{set: n.cfg.Mail, served: n.host.NewInbox()}
	for _, l := range []struct {
		name, addr string
		protocol   mail.Protocol
	}{{"smtp", n.cfg.Mail.smtp, mail.SMTP}, {"lmtp", n.cfg.Mail.lmtp, mail.LMTP}} {
		if l.addr == "" {
			continue
		}
		listener, err := n.host.Listen(l.addr)
		if err != nil {
			n.mail.unlisten()
			return fmt.Errorf("mail.front.%s: %w", l.name, err)
		}
		n.mail.listeners = append(n.mail.listeners, mailListener{listener, l.protocol})
	}
	return nil
}

func (p *mailParts) unlisten() {
	if p != nil {
		for _, l := range p.listeners {
			l.Close()
		}
	}
}

// assembleMail makes the parts, once the driver is there.
func (n *Node) assembleMail() {
	if n.mail == nil {
		return
	}
	n.mail.transport = mailtransport.New(n.host, n.clock, mailtransport.Settings{
		Name: n.mail.set.name, Partners: n.mail.set.partners, MostIdle: mailIdle, Log: n.log,
		ConnectTimeout: engine.Duration(n.cfg.Settings.ConnectTimeout), ConnIdle: engine.Duration(n.cfg.Settings.ConnIdle),
	})
	if n.mail.set.front != nil {
		set := *n.mail.set.front
		set.Random = lockedRandom(rand.New(rand.NewPCG(n.cfg.Seed, uint64(n.host.Wall().UnixMicro()))))
		set.Admit = n.driver.Admit
		n.mail.front = mailfront.New(set, n.host, n.driver, n.log)
	}
}

// serveMail begins to answer clients; until the node is ready they are turned away.
func (n *Node) serveMail() {
	if n.mail == nil || n.mail.front == nil {
		return
	}
	for _, l := range n.mail.listeners {
		n.host.Go(func() {
			if err := n.mail.front.Serve(l.Listener, l.protocol); err != nil {
				n.orders.Put(failed{err})
			}
			n.mail.served.Put(nil)
		})
	}
}

// startMail begins to tell senders of ends.
func (n *Node) startMail() {
	if n.mail != nil && n.mail.front != nil {
		n.mail.front.Start(n.driver.Notified)
	}
}

func (n *Node) readyMail() {
	if n.mail != nil && n.mail.front != nil {
		n.mail.front.Ready.Store(true)
	}
}

// letMailGo takes no new mails from now on and lets those finish that are under way; awaitMail waits for them.
func (n *Node) letMailGo(limit time.Time) {
	if n.mail == nil || n.mail.front == nil {
		return
	}
	n.mail.stopped = n.host.NewInbox()
	n.host.Go(func() { n.mail.stopped.Put(n.mail.front.Shutdown(limit)) })
}

func (n *Node) awaitMail() {
	if n.mail == nil || n.mail.stopped == nil {
		return
	}
	for _, v := range n.mail.stopped.Take(nil, time.Time{}) {
		if err, ok := v.(error); ok {
			n.log.Warn("the mail front did not close in time", "error", err)
		}
	}
}

// closeMail closes what is still open.
func (n *Node) closeMail() {
	if n.mail == nil {
		return
	}
	if n.mail.front != nil {
		n.mail.front.Close()
		for left := len(n.mail.listeners); left > 0; {
			left -= len(n.mail.served.Take(nil, time.Time{}))
		}
	}
	if err := n.mail.transport.Close(callsEnd); err != nil {
		n.log.Warn("mail calls did not end", "error", err)
	}
}

// twoTransports makes calls over HTTP, but for the kinds of endpoints that speak mail.
type twoTransports struct {
	engine.Transport // HTTP
	mail             *mailtransport.Transport
}

func (t *twoTransports) Start(c *engine.Call, on engine.CallEvents) {
	if t.mail.Speaks(c.Kind) {
		t.mail.Start(c, on)
	} else {
		t.Transport.Start(c, on)
	}
}

func (t *twoTransports) Abort(id engine.CallID) {
	t.mail.Abort(id)
	t.Transport.Abort(id)
}

func (t *twoTransports) CloseIdle(c *engine.CloseIdle) {
	t.mail.CloseIdle(c)
	t.Transport.CloseIdle(c)
}

func (t *twoTransports) RemoveEndpoint(l *engine.RemoveEndpoint) {
	t.mail.RemoveEndpoint(l)
	t.Transport.RemoveEndpoint(l)
}

// twoSinks tell ends to the platform, but for those of messages that came by mail.
type twoSinks struct {
	notices *partnerlist.Notices
	front   *mailfront.Front
}

func (s *twoSinks) Completed(d *engine.Done) {
	if mailfront.Owns(d.ID) {
		s.front.Completed(d)
	} else {
		s.notices.Completed(d)
	}
}

// transports and sink are the driver's seams.
func (n *Node) transports() engine.Transport {
	if n.mail == nil {
		return n.transport
	}
	return &twoTransports{n.transport, n.mail.transport}
}

func (n *Node) sink() engine.Sink {
	if n.mail == nil || n.mail.front == nil {
		return n.notices
	}
	return &twoSinks{n.notices, n.mail.front}
}
