package operator

import (
	"cmp"
	"fmt"
	"strings"
)

// Mail is what makes a dispatcher speak SMTP and LMTP.
type Mail struct {
	Name     string        `toml:"name"` // of this machine, in greetings, trace fields and Message-IDs
	Partners []MailPartner `toml:"partner"`
	Front    *MailFront    `toml:"front"` // nil: no mails are taken
	Routes   []MailRoute   `toml:"route"`
}

// MailPartner is what the endpoints of a kind speak.
type MailPartner struct {
	Kind          string `toml:"kind"`
	Protocol      string `toml:"protocol"` // smtp or lmtp
	TLS           string `toml:"tls"`      // off, opportunistic, required or implicit
	CA            string `toml:"ca"`       // file of certificates, "" for the system's
	ServerName    string `toml:"server_name"`
	User          string `toml:"user"`
	PasswordFile  string `toml:"password_file"`
	PerConnection int    `toml:"per_connection"`
	CallBytes     int    `toml:"call_bytes"`
	BusyWait      Span   `toml:"busy_wait_s"`
	GreyWait      Span   `toml:"greylist_wait_s"`
}

// MailFront is where mails are taken.
type MailFront struct {
	SMTP        string `toml:"smtp"` // host:port, "" for none
	LMTP        string `toml:"lmtp"`
	Certificate string `toml:"certificate"` // files, for STARTTLS; "" for none
	Key         string `toml:"key"`
	Most        int64  `toml:"max_bytes"`
	Connections int    `toml:"connections"` // 0: 100, but at most a quarter of the sockets
	Remember    Span   `toml:"remember_s"`
}

// MailRoute says which destination an address stands for.
type MailRoute struct {
	Recipient    string `toml:"recipient"` // an address, or @domain
	Dest         *int   `toml:"dest"`
	Class        string `toml:"class"`
	Tenant       string `toml:"tenant"`
	Expires      Span   `toml:"expires_s"`
	ClassField   string `toml:"class_field"`
	TenantField  string `toml:"tenant_field"`
	ExpiresField string `toml:"expires_field"`
}

// check also puts defaults in, but for those that depend on the site's limits.
func (m *Mail) check() error {
	if m == nil {
		return nil
	}
	if m.Name == "" || len(m.Name) > 253 || strings.ContainsFunc(m.Name, func(r rune) bool {
		return r != '.' && r != '-' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	}) {
		return fmt.Errorf("mail.name: %.40q is no name of a machine", m.Name)
	}
	if len(m.Partners) == 0 && m.Front == nil {
		return fmt.Errorf("mail: neither mail.partner nor mail.front is set")
	}
	kinds := map[string]bool{}
	for i := range m.Partners {
		if err := m.Partners[i].check(fmt.Sprintf("mail.partner[%d]", i), kinds); err != nil {
			return err
		}
	}
	if m.Front == nil {
		if len(m.Routes) > 0 {
			return fmt.Errorf("mail.route: of no use without mail.front")
		}
		return nil
	}
	if err := m.Front.check(); err != nil {
		return err
	}
	if len(m.Routes) == 0 {
		return fmt.Errorf("mail.route: missing: without one no recipient stands for a destination")
	}
	for i := range m.Routes {
		if err := m.Routes[i].check(fmt.Sprintf("mail.route[%d]", i)); err != nil {
			return err
		}
	}
	return nil
}

func (p *MailPartner) check(at string, kinds map[string]bool) error {
	switch {
	case p.Kind == "":
		return fmt.Errorf("%s.kind: missing", at)
	case kinds[p.Kind]:
		return fmt.Errorf("%s.kind: %q is there twice", at, p.Kind)
	}
	kinds[p.Kind] = true
	at += " (" + p.Kind + ")"
	if p.Protocol != "smtp" && p.Protocol != "lmtp" {
		return fmt.Errorf(`%s.protocol: %q is neither "smtp" nor "lmtp"`, at, p.Protocol)
	}
	verified := false
	switch p.TLS {
	case "off", "opportunistic":
	case "required", "implicit":
		verified = true
	default:
		return fmt.Errorf(`%s.tls: %q is none of "off", "opportunistic", "required" and "implicit"`, at, p.TLS)
	}
	switch {
	case !verified && (p.CA != "" || p.ServerName != ""):
		return fmt.Errorf("%s.ca, server_name: of no use with tls = %q, which verifies no certificate", at, p.TLS)
	case (p.User == "") != (p.PasswordFile == ""):
		return fmt.Errorf("%s.user, password_file: one is of no use without the other", at)
	case p.User != "" && !verified:
		return fmt.Errorf(`%s.user: a password is told only with tls = "required" or "implicit"`, at)
	case p.PerConnection < 0 || p.PerConnection > 1_000_000:
		return fmt.Errorf("%s.per_connection: %d is out of range (0 to 1000000)", at, p.PerConnection)
	case p.CallBytes < 0 || p.CallBytes > 64<<20:
		return fmt.Errorf("%s.call_bytes: %d is out of range (0 to %d)", at, p.CallBytes, 64<<20)
	}
	if err := p.BusyWait.check(at+".busy_wait_s", 3600); err != nil {
		return err
	}
	if err := p.GreyWait.check(at+".greylist_wait_s", 3600); err != nil {
		return err
	}
	p.PerConnection, p.CallBytes = cmp.Or(p.PerConnection, 100), cmp.Or(p.CallBytes, 64<<10)
	p.BusyWait, p.GreyWait = cmp.Or(p.BusyWait, 1), cmp.Or(p.GreyWait, 5)
	return nil
}

func (f *MailFront) check() error {
	if f.SMTP == "" && f.LMTP == "" {
		return fmt.Errorf("mail.front: neither smtp nor lmtp is set")
	}
	for _, a := range []struct{ name, addr string }{{"mail.front.smtp", f.SMTP}, {"mail.front.lmtp", f.LMTP}} {
		if a.addr == "" {
			continue
		}
		if _, err := hostPort(a.name, a.addr); err != nil {
			return err
		}
	}
	switch {
	case f.SMTP == f.LMTP:
		return fmt.Errorf("mail.front.lmtp: %s is that of smtp, too", f.LMTP)
	case (f.Certificate == "") != (f.Key == ""):
		return fmt.Errorf("mail.front.certificate, key: one is of no use without the other")
	case f.Most < 0 || f.Most > 64<<20:
		return fmt.Errorf("mail.front.max_bytes: %d is out of range (0 to %d)", f.Most, 64<<20)
	case f.Connections < 0 || f.Connections > 100_000:
		return fmt.Errorf("mail.front.connections: %d is out of range (0 to 100000)", f.Connections)
	}
	f.Most, f.Remember = cmp.Or(f.Most, 1<<20), cmp.Or(f.Remember, 600)
	return f.Remember.check("mail.front.remember_s", 30*86400)
}

func (r *MailRoute) check(at string) error {
	local, domain, ok := strings.Cut(r.Recipient, "@")
	if !ok || domain == "" || strings.ContainsAny(r.Recipient, " \t\r\n<>*") || strings.Contains(domain, "@") || len(r.Recipient) > 254 || len(local) > 64 {
		return fmt.Errorf("%s.recipient: %.80q is neither an address nor @domain", at, r.Recipient)
	}
	at += " (" + r.Recipient + ")"
	switch {
	case r.Dest == nil:
		return fmt.Errorf("%s.dest: missing", at)
	case *r.Dest < 0:
		return fmt.Errorf("%s.dest: %d is out of range (0 or more)", at, *r.Dest)
	case r.Class == "":
		return fmt.Errorf("%s.class: missing", at)
	}
	for _, f := range []struct{ name, v string }{{"class_field", r.ClassField}, {"tenant_field", r.TenantField}, {"expires_field", r.ExpiresField}} {
		if strings.ContainsFunc(f.v, func(c rune) bool { return c <= ' ' || c > '~' || c == ':' }) {
			return fmt.Errorf("%s.%s: %.40q is no name of a header field", at, f.name, f.v)
		}
	}
	if r.Expires == 0 {
		return fmt.Errorf("%s.expires_s: missing", at)
	}
	return r.Expires.check(at+".expires_s", 30*86400)
}
