package mailfront

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"net/smtp"
	"strings"
	"sync"
	"testing"
	"time"

	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/internal/mail"
)

func testCertificate(t *testing.T) (*tls.Config, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{"mux.example.org"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC), NotAfter: time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	must(t, err)
	c, err = x509.ParseCertificate(der)
	must(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(c)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}, pool
}

// lockedTaker is a taker for several goroutines.
type lockedTaker struct {
	mu sync.Mutex
	taker
}

func (k *lockedTaker) SubmitEach(list []*engine.Message, until []time.Time) []engine.Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.taker.SubmitEach(list, until)
}

func (k *lockedTaker) SubmitAll(list []*engine.Message, until []time.Time) engine.Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.taker.SubmitAll(list, until)
}

// onLoopback runs a front on real sockets.
func onLoopback(t *testing.T, set Settings) (addr string, k *lockedTaker) {
	t.Helper()
	k = &lockedTaker{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	f := New(set, host.System{}, k, quiet())
	f.Ready.Store(true)
	done := make(chan error, 1)
	go func() { done <- f.Serve(l, mail.SMTP) }()
	t.Cleanup(func() {
		f.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String(), k
}

func TestTheClientOfTheStandardLibraryIsServedOverTLS(t *testing.T) {
	t.Parallel()
	set := testSettings()
	var pool *x509.CertPool
	set.TLS, pool = testCertificate(t)
	addr, k := onLoopback(t, set)
	c, err := smtp.Dial(addr)
	must(t, err)
	defer c.Close()
	must(t, c.StartTLS(&tls.Config{RootCAs: pool, ServerName: "mux.example.org"}))
	if ok, _ := c.Extension("STARTTLS"); ok {
		t.Error("STARTTLS is offered over TLS")
	}
	must(t, c.Mail("me@sender.example"))
	must(t, c.Rcpt("x@a.example"))
	if err := c.Rcpt("x@elsewhere.example"); err == nil || !strings.Contains(err.Error(), "550") && !strings.Contains(err.Error(), "5.7.1") {
		t.Errorf("relayed: %v", err)
	}
	w, err := c.Data()
	must(t, err)
	_, err = io.WriteString(w, small)
	must(t, err)
	must(t, w.Close())
	must(t, c.Quit())
	if len(k.list) != 1 {
		t.Errorf("%d messages", len(k.list))
	}
}

// What somebody puts behind STARTTLS in plain text is not taken for the client's.
func TestCommandsBeforeTLSAreDropped(t *testing.T) {
	t.Parallel()
	set := testSettings()
	var pool *x509.CertPool
	set.TLS, pool = testCertificate(t)
	addr, k := onLoopback(t, set)
	nc, err := net.Dial("tcp", addr)
	must(t, err)
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(generous))
	_, err = io.WriteString(nc, "EHLO evil\r\nMAIL FROM:<evil@sender.example>\r\nSTARTTLS\r\nRCPT TO:<free@a.example>\r\nNOOP\r\n")
	must(t, err)
	var plain []byte
	for !strings.Contains(string(plain), "220 2.0.0 go ahead\r\n") {
		b := make([]byte, 1)
		_, err := nc.Read(b)
		must(t, err)
		plain = append(plain, b...)
	}
	secure := tls.Client(nc, &tls.Config{RootCAs: pool, ServerName: "mux.example.org"})
	must(t, secure.Handshake())
	_, err = io.WriteString(secure, "RCPT TO:<free@a.example>\r\nMAIL FROM:<me@sender.example>\r\nEHLO me\r\nQUIT\r\n")
	must(t, err)
	out, err := io.ReadAll(secure)
	must(t, err)
	var got []string
	for line := range strings.Lines(string(out)) {
		if line[3] == ' ' {
			got = append(got, line[:3])
		}
	}
	if s := strings.Join(got, " "); s != "503 503 250 221" {
		t.Errorf("replies over TLS %s", s)
	}
	if len(k.list) > 0 {
		t.Error("a mail was taken")
	}
}
