// Package kubeconfig reads the access to an API server from a kubeconfig file. It is a separate package so that programs
// that only run in a pod don't link a YAML parser.
package kubeconfig

import (
	"cmp"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"curlewmux/membership/endpointslice"

	"go.yaml.in/yaml/v3"
)

// file holds the fields of a kubeconfig that are used, and unsupported ones that would change the meaning of the rest.
type file struct {
	Current  string `yaml:"current-context"`
	Contexts []struct {
		Name    string
		Context struct{ Cluster, User, Namespace string }
	}
	Clusters []struct {
		Name    string
		Cluster cluster
	}
	Users []struct {
		Name string
		User user
	}
}

type cluster struct {
	Server     string
	CAFile     string `yaml:"certificate-authority"`
	CAData     string `yaml:"certificate-authority-data"`
	ServerName string `yaml:"tls-server-name"`
	Insecure   bool   `yaml:"insecure-skip-tls-verify"`
	Proxy      string `yaml:"proxy-url"`
}

type user struct {
	Token     string
	TokenFile string `yaml:"tokenFile"`
	CertFile  string `yaml:"client-certificate"`
	CertData  string `yaml:"client-certificate-data"`
	KeyFile   string `yaml:"client-key"`
	KeyData   string `yaml:"client-key-data"`
	Username  string
	Exec      any
	Provider  any `yaml:"auth-provider"`
	As        string
}

const maxBytes = 1 << 20 // of a file

// Read reads a context from a file, "" for the current context. Its error wraps endpointslice.ErrAccess and names the field.
func Read(path, context string) (a endpointslice.Access, err error) {
	f, err := os.Open(path)
	if err != nil {
		return a, fmt.Errorf("%w: kubeconfig: %w", endpointslice.ErrAccess, err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxBytes+1))
	if err == nil && len(text) > maxBytes {
		err = fmt.Errorf("it has over %d bytes", maxBytes)
	}
	if err != nil {
		return a, fmt.Errorf("%w: kubeconfig %s: %w", endpointslice.ErrAccess, path, err)
	}
	if a, err = parse(text, context, filepath.Dir(path)); err != nil {
		return a, fmt.Errorf("%w: kubeconfig %s: %w", endpointslice.ErrAccess, path, err)
	}
	return a, a.Check()
}

func parse(text []byte, context, dir string) (a endpointslice.Access, err error) {
	var f file
	if err := yaml.Unmarshal(text, &f); err != nil {
		return a, err
	}
	if context = cmp.Or(context, f.Current); context == "" {
		return a, errors.New("current-context: missing, and no context is given")
	}
	var c *cluster
	var u *user
	found := false
	for _, x := range f.Contexts {
		if x.Name != context {
			continue
		}
		found = true
		a.Namespace = x.Context.Namespace
		for i := range f.Clusters {
			if f.Clusters[i].Name == x.Context.Cluster {
				c = &f.Clusters[i].Cluster
			}
		}
		for i := range f.Users {
			if f.Users[i].Name == x.Context.User {
				u = &f.Users[i].User
			}
		}
		if c == nil {
			return a, fmt.Errorf("contexts: %s: cluster %q is not defined", context, x.Context.Cluster)
		}
		if u == nil && x.Context.User != "" {
			return a, fmt.Errorf("contexts: %s: user %q is not defined", context, x.Context.User)
		}
	}
	if !found {
		return a, fmt.Errorf("contexts: %q is not defined", context)
	}
	if u == nil {
		u = &user{}
	}
	for _, unsupported := range []struct {
		field string
		set   bool
	}{
		{"proxy-url", c.Proxy != ""}, {"exec", u.Exec != nil}, {"auth-provider", u.Provider != nil},
		{"username", u.Username != ""}, {"as", u.As != ""},
	} {
		if unsupported.set {
			return a, fmt.Errorf("%s: not supported: use a token, a token file or a client certificate", unsupported.field)
		}
	}
	a.Server, a.ServerName, a.Insecure = c.Server, c.ServerName, c.Insecure
	// As in kubectl, data take precedence over files, and a token file over a token.
	a.Token = u.Token
	a.TokenFile = resolvePath(dir, u.TokenFile)
	for _, x := range []struct {
		field, data, file string
		bytes             *[]byte
		path              *string
	}{
		{"certificate-authority-data", c.CAData, c.CAFile, &a.CA, &a.CAFile},
		{"client-certificate-data", u.CertData, u.CertFile, &a.Cert, &a.CertFile},
		{"client-key-data", u.KeyData, u.KeyFile, &a.Key, &a.KeyFile},
	} {
		if x.data == "" {
			*x.path = resolvePath(dir, x.file)
			continue
		}
		if *x.bytes, err = base64.StdEncoding.DecodeString(x.data); err != nil {
			return a, fmt.Errorf("%s: %w", x.field, err)
		}
	}
	return a, nil
}

// resolvePath resolves a path in the file relative to the file's folder.
func resolvePath(dir, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}
