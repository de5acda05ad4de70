package kubeconfig

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"curlewmux/internal/standin/kubeapi"
	"curlewmux/membership/endpointslice"
)

func write(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestReadServerCAAndToken(t *testing.T) {
	t.Parallel()
	s, err := kubeapi.Start(kubeapi.Options{TLS: true})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	a, err := Read(write(t, t.TempDir(), "config", string(s.Kubeconfig("secret"))), "")
	if err != nil {
		t.Fatal(err)
	}
	if a.Server != s.URL() || a.Token != "secret" || string(a.CA) != string(s.CA()) || a.Namespace != "partners" {
		t.Errorf("access %+v", a)
	}
}

func TestPathsAreRelativeToTheFile(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	write(t, dir, "token", "t1\n")
	path := write(t, dir, "config", `{"current-context":"b","contexts":[{"name":"a","context":{"cluster":"c","user":"u"}}],
		"clusters":[{"name":"c","cluster":{"server":"https://10.0.0.1:6443"}}],"users":[{"name":"u","user":{"tokenFile":"token"}}]}`)
	a, err := Read(path, "a")
	if err != nil || a.TokenFile != filepath.Join(dir, "token") {
		t.Errorf("access %+v, error %v", a, err)
	}
	if _, err := Read(path, ""); err == nil || !strings.Contains(err.Error(), `"b"`) {
		t.Error(err)
	}
}

func TestErrorNamesField(t *testing.T) {
	t.Parallel()
	config := func(cluster, user string) string {
		return `{current-context: a, contexts: [{name: a, context: {cluster: c, user: u}}], clusters: [{name: c, cluster: ` + cluster + `}], users: [{name: u, user: ` + user + `}]}`
	}
	const good = "{server: 'https://10.0.0.1'}"
	for text, want := range map[string]string{
		config(good, "{exec: {command: x}}"):                                                   "exec",
		config(good, "{username: x, password: y}"):                                             "username",
		config(good, "{tokenFile: /no/such}"):                                                  "token file",
		config(good, "{client-certificate-data: '!'}"):                                         "client-certificate-data",
		config("{server: 'https://10.0.0.1', proxy-url: 'http://x'}", "{}"):                    "proxy-url",
		config("{server: 'ftp://10.0.0.1'}", "{}"):                                             "server",
		config("{server: 'http://10.0.0.1'}", "{token: x}"):                                    "server",
		config("{server: 'https://10.0.0.1', certificate-authority: nothing}", "{}"):           "CA file",
		config("{server: 'https://10.0.0.1', certificate-authority-data: bm90aGluZw==}", "{}"): "CA",
		"{current-context: a, contexts: [{name: a, context: {cluster: c}}]}":                   "cluster",
		"{}": "current-context",
		"[":  "kubeconfig",
	} {
		_, err := Read(write(t, t.TempDir(), "config", text), "")
		if !errors.Is(err, endpointslice.ErrAccess) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want it to name %s", text, err, want)
		}
	}
}
