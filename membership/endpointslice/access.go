package endpointslice

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"strings"
)

// Access holds the address of an API server and the client's credentials. A field ending in File takes precedence over its
// counterpart without File. The file is read again on each use, so that credentials may be rotated.
type Access struct {
	Server     string // https://host:port, optionally with a path
	CA         []byte // PEM of the trusted CAs; nil for those of the system
	CAFile     string
	ServerName string // expected in the certificate, "" for the host name
	Insecure   bool   // accept any certificate
	Token      string // bearer token, "" for none
	TokenFile  string
	Cert, Key  []byte // PEM of the client certificate and its key, nil for none
	CertFile   string
	KeyFile    string
	Namespace  string // namespace of the client, "" if not known
}

// ErrAccess is wrapped by every error about the settings of the access to an API server.
var ErrAccess = errors.New("access to the API server")

// serviceAccountDir is the folder with the credentials of a pod.
const serviceAccountDir = "/var/run/secrets/kubernetes.io/serviceaccount"

// InCluster returns the access of a pod (https://kubernetes.io/docs/tasks/run-application/access-api-from-pod).
func InCluster(env func(string) string) (Access, error) { return inCluster(env, serviceAccountDir) }

func inCluster(env func(string) string, dir string) (a Access, err error) {
	host, port := env("KUBERNETES_SERVICE_HOST"), env("KUBERNETES_SERVICE_PORT")
	if host == "" || port == "" {
		return a, fmt.Errorf("%w: KUBERNETES_SERVICE_HOST or KUBERNETES_SERVICE_PORT is not set: not running in a pod", ErrAccess)
	}
	a = Access{
		Server: "https://" + net.JoinHostPort(host, port),
		CAFile: filepath.Join(dir, "ca.crt"), TokenFile: filepath.Join(dir, "token"),
	}
	if ns, err := os.ReadFile(filepath.Join(dir, "namespace")); err == nil {
		a.Namespace = strings.TrimSpace(string(ns))
	}
	return a, a.Check()
}

// Check validates the access, including the files as they are now. Its error wraps ErrAccess and names the field.
func (a *Access) Check() error {
	u, err := url.Parse(a.Server)
	if err != nil || u.Host == "" || u.Scheme != "https" && u.Scheme != "http" || u.RawQuery != "" || u.User != nil {
		return fmt.Errorf("%w: server: %.200q is not a valid address", ErrAccess, a.Server)
	}
	if u.Scheme == "http" && (a.Token != "" || a.TokenFile != "") && !isLoopback(u.Hostname()) {
		return fmt.Errorf("%w: server: %s would get the token in the clear", ErrAccess, a.Server)
	}
	if _, err := a.token(); err != nil {
		return err
	}
	_, err = a.tlsConfig()
	return err
}

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// maxCredentialBytes limits the size of a credentials file, in bytes.
const maxCredentialBytes = 1 << 20

func readFile(field, path string) ([]byte, error) {
	st, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrAccess, field, err)
	}
	if st.Size() > maxCredentialBytes {
		return nil, fmt.Errorf("%w: %s: %s has over %d bytes", ErrAccess, field, path, maxCredentialBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrAccess, field, err)
	}
	return text, nil
}

// token returns the current bearer token, "" if there is none.
func (a *Access) token() (string, error) {
	token := a.Token
	if a.TokenFile != "" {
		text, err := readFile("token file", a.TokenFile)
		if err != nil {
			return "", err
		}
		token = strings.TrimSpace(string(text))
		if token == "" {
			return "", fmt.Errorf("%w: token file: %s is empty", ErrAccess, a.TokenFile)
		}
	}
	if strings.ContainsAny(token, "\r\n\x00") {
		return "", fmt.Errorf("%w: token: it holds a line break", ErrAccess)
	}
	return token, nil
}

// certificates returns the current PEM texts of the CAs and of the client certificate with its key.
func (a *Access) certificates() (ca, cert, key []byte, err error) {
	ca, cert, key = a.CA, a.Cert, a.Key
	for _, f := range []struct {
		field, path string
		to          *[]byte
	}{{"CA file", a.CAFile, &ca}, {"client certificate file", a.CertFile, &cert}, {"client key file", a.KeyFile, &key}} {
		if f.path != "" {
			if *f.to, err = readFile(f.field, f.path); err != nil {
				return nil, nil, nil, err
			}
		}
	}
	return ca, cert, key, nil
}

func (a *Access) tlsConfig() (*tls.Config, error) {
	ca, cert, key, err := a.certificates()
	if err != nil {
		return nil, err
	}
	c := &tls.Config{ServerName: a.ServerName, InsecureSkipVerify: a.Insecure, MinVersion: tls.VersionTLS12}
	if ca != nil {
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(ca) {
			return nil, fmt.Errorf("%w: CA: contains no certificate", ErrAccess)
		}
	}
	if cert != nil || key != nil {
		pair, err := tls.X509KeyPair(cert, key)
		if err != nil {
			return nil, fmt.Errorf("%w: client certificate: %w", ErrAccess, err)
		}
		c.Certificates = []tls.Certificate{pair}
	}
	return c, nil
}
