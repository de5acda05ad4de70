package kubeapi

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"encoding/pem"
	"fmt"
	"io"
	"log"
	"math/big"
	"net"
	"net/http"
	"time"
)

// listener is the server's way to the network; it can be stopped and started again at the same address.
type listener struct {
	addr string
	tls  *tls.Config
	ca   []byte // PEM
	http *http.Server
}

func newListener(secure bool) (*listener, error) {
	l := &listener{addr: "127.0.0.1:0"}
	if secure {
		if err := l.newCA(); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// newCA makes a CA and a certificate of it for the loopback address.
func (l *listener) newCA() error {
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	now := time.Now()
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()), Subject: pkix.Name{CommonName: "stand-in CA"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotBefore: now.Add(-time.Hour), NotAfter: now.Add(24 * time.Hour),
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano() + 1), Subject: pkix.Name{CommonName: "stand-in API server"},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(24 * time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, DNSNames: []string{"localhost"},
	}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	if err != nil {
		return err
	}
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
	if err != nil {
		return err
	}
	l.ca = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: caDER})
	l.tls = &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{leafDER}, PrivateKey: key}}}
	return nil
}

func (l *listener) start(h http.Handler) error {
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		return err
	}
	l.addr = ln.Addr().String()
	l.http = &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: 10 * time.Second}
	if l.tls != nil {
		l.http.TLSConfig = l.tls.Clone()
		go l.http.ServeTLS(ln, "", "") // ends with Close
	} else {
		go l.http.Serve(ln)
	}
	return nil
}

// URL is where the server is.
func (s *Server) URL() string {
	if s.opt.TLS {
		return "https://" + s.http.addr
	}
	return "http://" + s.http.addr
}

// CA is the PEM of the server's CA, nil without TLS.
func (s *Server) CA() []byte { return s.http.ca }

// Stop ends the server as a crash does: connections break, new ones are refused. The data stay.
func (s *Server) Stop() { s.http.http.Close() } // its error is of no use to a test

// Resume starts it again at its address.
func (s *Server) Resume() error {
	if err := s.http.start(s); err != nil {
		return fmt.Errorf("stand-in API server: %w", err)
	}
	return nil
}

// RotateCA stops the server and starts it again with another CA.
func (s *Server) RotateCA() error {
	s.Stop()
	if err := s.http.newCA(); err != nil {
		return fmt.Errorf("stand-in API server: %w", err)
	}
	return s.Resume()
}

// Kubeconfig is a configuration for kubectl and its like.
func (s *Server) Kubeconfig(token string) []byte {
	ca := ""
	if s.http.ca != nil {
		ca = "    certificate-authority-data: " + base64Of(s.http.ca) + "\n"
	}
	return fmt.Appendf(nil, `apiVersion: v1
kind: Config
current-context: standin
clusters:
- name: standin
  cluster:
    server: %s
%scontexts:
- name: standin
  context: {cluster: standin, user: dispatcher, namespace: partners}
users:
- name: dispatcher
  user: {token: %q}
`, s.URL(), ca, token)
}

// Play calls do at a rate until ctx ends, and makes up for calls that came late. It returns how many there were.
func Play(ctx context.Context, perSecond float64, do func(n int)) (n int) {
	began := time.Now()
	for ctx.Err() == nil {
		for due := int(time.Since(began).Seconds() * perSecond); n < due && ctx.Err() == nil; n++ {
			do(n)
		}
		next := began.Add(time.Duration(float64(n+1) / perSecond * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
		}
	}
	return n
}

func base64Of(b []byte) string { return base64.StdEncoding.EncodeToString(b) }
