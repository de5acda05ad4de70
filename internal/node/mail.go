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

// Mail is the configuration of SMTP and LMTP. ReadMail creates it.
type Mail struct {
	partners      map[int]mailtransport.Partner // by endpoint kind
	maxCallBytes  []int                         // limit of a call's size by endpoint kind, 0 for the default
	name          string
	front         *mailfront.Settings // nil: no mail is accepted
	smtp          string              // address to listen on, empty for none
	lmtp          string              // address to listen on, empty for none
	rememberTimes []engine.Time       // by class: how long an id is remembered beyond its message's time
}

const (
	maxIdleMailConns   = 32  // idle connections to mail servers
	defaultMailClients = 100 // default limit of client connections, unless a quarter of the sockets is less
)

// ReadMail reads the section [mail] of the operator's file. Names in it must be known in the configuration, and files
// must be readable. Its errors name the setting.
func ReadMail(file *operator.Mail, config *Config) (*Mail, error) {
	out := &Mail{partners: map[int]mailtransport.Partner{}, name: file.Name, maxCallBytes: make([]int, len(config.Settings.Kinds))}
	for i := range file.Partners {
		partner := &file.Partners[i]
		path := fmt.Sprintf("mail.partner[%d] (%s)", i, partner.Kind)
		kind := config.nameIndex().Kind(wire.Plain(partner.Kind))
		if kind < 0 {
			return nil, fmt.Errorf("%s.kind: there is no such kind", path)
		}
		var err error
		if out.partners[kind], err = readPartner(path, partner); err != nil {
			return nil, err
		}
		out.maxCallBytes[kind] = partner.CallBytes
	}
	if file.Front == nil {
		return out, nil
	}
	front := file.Front
	out.smtp, out.lmtp = front.SMTP, front.LMTP
	out.rememberTimes = make([]engine.Time, len(config.Settings.Classes))
	remember := engine.Time(float64(front.Remember) * float64(control.Second))
	out.front = &mailfront.Settings{
		Name: file.Name, Classes: map[string]mailfront.Class{}, Size: front.Most, Conns: cmp.Or(front.Connections, min(defaultMailClients, config.Sockets/4)),
		Transit: config.Memory / transitMemoryDivisor,
	}
	for _, class := range config.Settings.Classes {
		out.front.Classes[class.Name] = mailfront.Class{NeedsID: class.Effect != control.Free}
	}
	if front.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(front.Certificate, front.Key)
		if err != nil {
			return nil, fmt.Errorf("mail.front.certificate, key: %w", err)
		}
		out.front.TLS = &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}
	}
	if out.sockets() >= config.Sockets/2 {
		return nil, fmt.Errorf("mail.front.connections: %d leave too few of %d sockets", out.front.Conns, config.Sockets)
	}
	for i, route := range file.Routes {
		path := fmt.Sprintf("mail.route[%d] (%s)", i, route.Recipient)
		class, tenant := wire.Plain(route.Class), wire.Plain(route.Tenant)
		if _, ok := out.front.Classes[class]; !ok {
			return nil, fmt.Errorf("%s.class: %q is unknown", path, route.Class)
		}
		if len(config.Settings.Tenants) > 0 && !slices.ContainsFunc(config.Settings.Tenants, func(t control.Tenant) bool { return t.Name == tenant }) {
			return nil, fmt.Errorf("%s.tenant: %q is unknown", path, route.Tenant)
		}
		for i := range config.Settings.Classes { // classes that a mail on this route can have
			if config.Settings.Classes[i].Name == class || route.ClassField != "" {
				out.rememberTimes[i] = remember
			}
		}
		out.front.Routes = append(out.front.Routes, mailfront.Route{
			Recipient: route.Recipient, Dest: *route.Dest, Class: class, Tenant: tenant, Expires: route.Expires.Duration(),
			ClassField: route.ClassField, TenantField: route.TenantField, ExpiresField: route.ExpiresField,
		})
	}
	return out, nil
}

// sockets returns the number of file descriptors that mail needs in addition to those of calls.
func (m *Mail) sockets() int {
	if m.front == nil {
		return maxIdleMailConns
	}
	return maxIdleMailConns + m.front.Conns + 2
}

// lockedRandom makes a random source safe for concurrent sessions.
func lockedRandom(r *rand.Rand) func() uint64 {
	var mu sync.Mutex
	return func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return r.Uint64()
	}
}

// readPartner reads a mail partner, its CA file and its password file.
func readPartner(path string, partner *operator.MailPartner) (out mailtransport.Partner, err error) {
	out = mailtransport.Partner{
		Protocol: map[string]mail.Protocol{"smtp": mail.SMTP, "lmtp": mail.LMTP}[partner.Protocol],
		TLS: map[string]mailtransport.TLS{
			"off": mailtransport.TLSOff, "opportunistic": mailtransport.TLSOpportunistic,
			"required": mailtransport.TLSRequired, "implicit": mailtransport.TLSImplicit,
		}[partner.TLS],
		Config: &tls.Config{MinVersion: tls.VersionTLS12, ServerName: partner.ServerName}, User: partner.User, PerConnection: partner.PerConnection,
		BusyWait: partner.BusyWait.Duration(), GreyWait: partner.GreyWait.Duration(),
	}
	if partner.CA != "" {
		text, err := os.ReadFile(partner.CA)
		if err != nil {
			return out, fmt.Errorf("%s.ca: %w", path, err)
		}
		out.Config.RootCAs = x509.NewCertPool()
		if !out.Config.RootCAs.AppendCertsFromPEM(text) {
			return out, fmt.Errorf("%s.ca: %s holds no certificate", path, partner.CA)
		}
	}
	if partner.PasswordFile != "" {
		text, err := os.ReadFile(partner.PasswordFile)
		if err != nil {
			return out, fmt.Errorf("%s.password_file: %w", path, err)
		}
		if out.Password = strings.TrimRight(string(text), "\r\n"); out.Password == "" {
			return out, fmt.Errorf("%s.password_file: %s is empty", path, partner.PasswordFile)
		}
	}
	return out, nil
}

// mailParts are the components of a node that handles mail.
type mailParts struct {
	settings  *Mail
	transport *mailtransport.Transport
	front     *mailfront.Front // nil: no mail is accepted
	served    host.Inbox       // receives a value when serving a listener has ended
	listeners []mailListener
	stopped   host.Inbox // receives the result of the front's shutdown; nil before it begins
}

// mailListener is a listener and the protocol that is spoken there.
type mailListener struct {
	net.Listener
	protocol mail.Protocol
}

// listenMail opens the mail front's listeners, before the state folder is opened.
func (n *Node) listenMail() error {
	if n.cfg.Mail == nil {
		return nil
	}
	n.mail = &mailParts{settings: n.cfg.Mail, served: n.host.NewInbox()}
	for _, l := range []struct {
		name, addr string
		protocol   mail.Protocol
	}{{"smtp", n.cfg.Mail.smtp, mail.SMTP}, {"lmtp", n.cfg.Mail.lmtp, mail.LMTP}} {
		if l.addr == "" {
			continue
		}
		listener, err := n.host.Listen(l.addr)
		if err != nil {
			n.mail.closeListeners()
			return fmt.Errorf("mail.front.%s: %w", l.name, err)
		}
		n.mail.listeners = append(n.mail.listeners, mailListener{listener, l.protocol})
	}
	return nil
}

// closeListeners closes the listeners of a front that is not served yet.
func (p *mailParts) closeListeners() {
	if p != nil {
		for _, l := range p.listeners {
			l.Close()
		}
	}
}

// assembleMail creates the transport and the front. It needs the driver.
func (n *Node) assembleMail() {
	if n.mail == nil {
		return
	}
	n.mail.transport = mailtransport.New(n.host, n.clock, mailtransport.Settings{
		Name: n.mail.settings.name, Partners: n.mail.settings.partners, MostIdle: maxIdleMailConns, Log: n.log,
		ConnectTimeout: engine.Duration(n.cfg.Settings.ConnectTimeout), ConnIdle: engine.Duration(n.cfg.Settings.ConnIdle),
	})
	if n.mail.settings.front != nil {
		settings := *n.mail.settings.front
		settings.Random = lockedRandom(rand.New(rand.NewPCG(n.cfg.Seed, uint64(n.host.Wall().UnixMicro()))))
		settings.Admit = n.driver.Admit
		n.mail.front = mailfront.New(settings, n.host, n.driver, n.log)
	}
}

// serveMail begins to serve clients. They are rejected until the node is ready.
func (n *Node) serveMail() {
	if n.mail == nil || n.mail.front == nil {
		return
	}
	for _, l := range n.mail.listeners {
		n.host.Go(func() {
			if err := n.mail.front.Serve(l.Listener, l.protocol); err != nil {
				n.requests.Put(serveEnded{err})
			}
			n.mail.served.Put(nil)
		})
	}
}

// startMail begins to notify senders of results.
func (n *Node) startMail() {
	if n.mail != nil && n.mail.front != nil {
		n.mail.front.Start(n.driver.Notified)
	}
}

// setMailReady has the mail front accept mails.
func (n *Node) setMailReady() {
	if n.mail != nil && n.mail.front != nil {
		n.mail.front.Ready.Store(true)
	}
}

// shutdownMail has the mail front accept no new mail and finish those in progress, until the limit.
// awaitMailShutdown waits for that.
func (n *Node) shutdownMail(limit time.Time) {
	if n.mail == nil || n.mail.front == nil {
		return
	}
	n.mail.stopped = n.host.NewInbox()
	n.host.Go(func() { n.mail.stopped.Put(n.mail.front.Shutdown(limit)) })
}

// awaitMailShutdown waits for the shutdown that shutdownMail began.
func (n *Node) awaitMailShutdown() {
	if n.mail == nil || n.mail.stopped == nil {
		return
	}
	for _, v := range n.mail.stopped.Take(nil, time.Time{}) {
		if err, ok := v.(error); ok {
			n.log.Warn("the mail front did not close in time", "error", err)
		}
	}
}

// closeMail closes the mail front and transport.
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
	if err := n.mail.transport.Close(abortTimeout); err != nil {
		n.log.Warn("mail calls did not end", "error", err)
	}
}

// mailTransportMux makes calls by mail to endpoints of the kinds that speak it, and over HTTP to all others.
type mailTransportMux struct {
	engine.Transport // HTTP
	mail             *mailtransport.Transport
}

func (t *mailTransportMux) Start(c *engine.Call, events engine.CallEvents) {
	if t.mail.Speaks(c.Kind) {
		t.mail.Start(c, events)
	} else {
		t.Transport.Start(c, events)
	}
}

func (t *mailTransportMux) Abort(id engine.CallID) {
	t.mail.Abort(id)
	t.Transport.Abort(id)
}

func (t *mailTransportMux) CloseIdle(request *engine.CloseIdle) {
	t.mail.CloseIdle(request)
	t.Transport.CloseIdle(request)
}

func (t *mailTransportMux) RemoveEndpoint(removal *engine.RemoveEndpoint) {
	t.mail.RemoveEndpoint(removal)
	t.Transport.RemoveEndpoint(removal)
}

// mailSinkMux passes results of messages that came by mail to the mail front, and all others to the platform.
type mailSinkMux struct {
	notices *partnerlist.Notices
	front   *mailfront.Front
}

func (s *mailSinkMux) Completed(d *engine.Done) {
	if mailfront.Owns(d.ID) {
		s.front.Completed(d)
	} else {
		s.notices.Completed(d)
	}
}

// newTransport returns the driver's transport.
func (n *Node) newTransport() engine.Transport {
	if n.mail == nil {
		return n.transport
	}
	return &mailTransportMux{n.transport, n.mail.transport}
}

// newSink returns the driver's sink.
func (n *Node) newSink() engine.Sink {
	if n.mail == nil || n.mail.front == nil {
		return n.notices
	}
	return &mailSinkMux{n.notices, n.mail.front}
}
