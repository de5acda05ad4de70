package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"curlewmux/internal/node"
)

const site = `{"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "8c1f30d27a5be964",
"limits": {"cores": 1, "memory_mb": 32, "sockets": 200, "disk_mb": 3}, "settings": {
"classes": [{"effect": "free", "gain": 1, "group": "all", "hard-limit": 60000000, "late-worth": 0.5, "name": "free", "target": 1000000, "window": 30000000}],
"dcs": ["east"], "host-types": ["hooks"], "instances": 1, "me": 0, "tick": 5000, "zone": 0, "weights": "none",
"extra": {"batch-by-kind": [1], "late": "linear", "routes-apart": [false], "slots": 500},
"limits": {"conn-idle": 5000000, "connect-timeout": 1500000, "max-open": 1000, "max-retry-after": 2000000, "may-cancel": true, "most-tries": 6, "probes": false, "retry-after": true, "streams-per-conn": 1},
"report": {"names": [], "via": "none"}, "rules": {"cold-from": 0.2, "overload-for": 2000000, "stop-sending-within": 1000000, "tip-multiple": 2.0, "warm-up": 10000000},
"tenants": [{"fraction": 1.0, "name": "core", "quota-per-s": 1000}]}}`

const file = `
[log]
format = "json"
[journal]
sync = "interval"
[fleet]
instances = 3
[mail]
name = "mux.example.org"
[[mail.partner]]
kind = "hooks"
protocol = "lmtp"
tls = "off"
[mail.front]
smtp = "127.0.0.1:2525"
[[mail.route]]
recipient = "@archive.example.org"
dest = 0
class = "free"
tenant = "core"
expires_s = 30
[undelivered]
disk_share = 0.25
[undelivered.retain_class]
free = 60
[[undelivered.rule]]
name = "all"
classes = ["free"]
`

// ask runs curlewmux check on a configuration and an operator's file.
func ask(t *testing.T, config, operator string, env []string, args ...string) (code int, out, complaint string) {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{"config.json": config, "operator.toml": operator} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var stdout, stderr bytes.Buffer
	cmd := exec.CommandContext(t.Context(), program, append([]string{"check", "--operator", filepath.Join(dir, "operator.toml")}, args...)...)
	cmd.Env = append([]string{"EDGE_CONFIG=" + filepath.Join(dir, "config.json"), "EDGE_STATE=" + filepath.Join(dir, "state")}, env...)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	cmd.Run() // its error is the exit status
	if _, err := os.Stat(filepath.Join(dir, "state")); err == nil {
		t.Error("the state folder was made")
	}
	return cmd.ProcessState.ExitCode(), stdout.String(), stderr.String()
}

func TestCheckTellsEachValueAndWhereItIsFrom(t *testing.T) {
	t.Parallel()
	code, out, complaint := ask(t, site, file, []string{"EDGE_NAME=n9", "EDGE_LISTEN=127.0.0.1:9"}, "--json")
	var r node.Report
	if err := json.Unmarshal([]byte(out), &r); err != nil || code != 0 || complaint != "" {
		t.Fatalf("%d %v %s %s", code, err, out, complaint)
	}
	got := map[string]node.Setting{}
	for _, s := range r.Settings {
		if _, twice := got[s.Name]; twice {
			t.Errorf("%s is there twice", s.Name)
		}
		got[s.Name] = s
	}
	for _, want := range []node.Setting{
		{Name: "name", Value: "n9", From: "environment EDGE_NAME"}, {Name: "listen", Value: "127.0.0.1:9", From: "environment EDGE_LISTEN"},
		{Name: "discovery", Value: "127.0.0.1:2", From: node.FromFile}, {Name: "limits.disk_mb", Value: 3.0, From: node.FromFile},
		{Name: "settings.classes.0.name", Value: "free", From: node.FromFile}, {Name: "settings.over-share-worth", Value: "1", From: node.FromDefault},
		{Name: "settings.classes.0.by-arrival", Value: "false", From: node.FromDefault},
		{Name: "settings.instances", Value: "3", From: node.FromOperator + ": fleet.instances"},
		{Name: "fleet.instances", Value: 3.0, From: node.FromOperator},
		{Name: "journal.sync", Value: "interval", From: node.FromOperator}, {Name: "journal.every_ms", Value: 100.0, From: node.FromDefault},
		{Name: "log.format", Value: "json", From: node.FromOperator}, {Name: "log.level", Value: "info", From: node.FromDefault},
		{Name: "mail.partner[0].protocol", Value: "lmtp", From: node.FromOperator}, {Name: "mail.partner[0].per_connection", Value: 100.0, From: node.FromDefault},
		{Name: "mail.front.connections", Value: 50.0, From: node.FromComputed}, {Name: "mail.route[0].dest", Value: 0.0, From: node.FromOperator},
		{Name: "undelivered.disk_share", Value: 0.25, From: node.FromOperator}, {Name: "undelivered.retain_class.free", Value: 60.0, From: node.FromOperator},
		{Name: "undelivered.rule[0].tries", Value: 8.0, From: node.FromDefault}, {Name: "undelivered.partner", Value: nil, From: node.FromDefault},
		{Name: "disk.undelivered_bytes", Value: 750000.0, From: node.FromComputed}, {Name: "slots", Value: 28.0, From: node.FromComputed},
	} {
		if got[want.Name] != want {
			t.Errorf("%+v, want %+v", got[want.Name], want)
		}
	}
	if code, out, _ := ask(t, site, "", nil); code != 0 || !strings.Contains(out, "SETTING") || !strings.Contains(out, "undelivered ") {
		t.Errorf("text: %d %s", code, out)
	}
}

func TestCheckNamesEachFaultySetting(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ old, new, want string }{ // in the configuration
		{`"n0"`, `""`, "name: missing, and EDGE_NAME"}, {`"127.0.0.1:1"`, `"here"`, "listen: "}, {`"127.0.0.1:2"`, `""`, "discovery: missing"},
		{`"8c1f30d27a5be964"`, `"xyz"`, "seed: "}, {`"cores": 1`, `"cores": 0`, "limits.cores"}, {`"memory_mb": 32`, `"memory_mb": -1`, "limits.memory_mb"},
		{`"sockets": 200`, `"sockets": 0`, "limits.sockets"}, {`"disk_mb": 3`, `"disk_mb": 0`, "limits.disk_mb"},
		{`"effect": "free"`, `"effect": "odd"`, "classes.0.effect"}, {`"gain": 1`, `"gain": -1`, "classes.0.gain"},
		{`"hard-limit": 60000000, `, ``, "classes.0.hard-limit"}, {`"target": 1000000`, `"target": "soon"`, "classes.0.target"},
		{`"instances": 1`, `"instances": 0`, "instances"}, {`"me": 0`, `"me": -1`, "me"}, {`"tick": 5000`, `"tick": 0`, "tick"},
		{`"slots": 500`, `"slots": 0`, "extra.slots"}, {`"batch-by-kind": [1]`, `"batch-by-kind": [0]`, "extra.batch-by-kind"},
		{`"max-open": 1000`, `"max-open": 0`, "limits.max-open"}, {`"most-tries": 6`, `"most-tries": 0`, "limits.most-tries"},
		{`"cold-from": 0.2`, `"cold-from": 2`, "rules.cold-from"}, {`"tip-multiple": 2.0`, `"tip-multiple": -1`, "rules.tip-multiple"},
		{`"quota-per-s": 1000`, `"quota-per-s": -1`, "tenants.0.quota-per-s"}, {`{"name"`, `["name"`, "configuration: "},
	} {
		text := strings.Replace(site, c.old, c.new, 1)
		if text == site {
			t.Fatalf("%q is not there", c.old)
		}
		if code, out, complaint := ask(t, text, "", nil); code != 2 || out != "" || !strings.Contains(complaint, c.want) {
			t.Errorf("%s -> %s: %d %q %q, want %s", c.old, c.new, code, out, complaint, c.want)
		}
	}
	for _, c := range []struct{ old, new, want string }{ // in the operator's file, against the configuration
		{`format = "json"`, `format = "xml"`, "log.format"}, {`format = "json"`, `level = "loud"`, "log.level"},
		{`sync = "interval"`, `sync = "often"`, "journal.sync"}, {`instances = 3`, `instances = 0`, "fleet.instances"},
		{`kind = "hooks"`, `kind = "bells"`, "mail.partner[0] (bells).kind"}, {`tls = "off"`, "tls = \"required\"\nca = \"/missing\"", "mail.partner[0] (hooks).ca"},
		{`smtp = "127.0.0.1:2525"`, "smtp = \"127.0.0.1:2525\"\nconnections = 90", "mail.front.connections"},
		{`class = "free"`, `class = "none"`, "mail.route[0] (@archive.example.org).class"}, {`tenant = "core"`, `tenant = "x"`, "mail.route[0] (@archive.example.org).tenant"},
		{`disk_share = 0.25`, `disk_share = 0.01`, "undelivered.disk_share"}, {`disk_share = 0.25`, `refused = 100000`, "undelivered.refused"},
		{`classes = ["free"]`, `classes = ["none"]`, "undelivered.rule[0] (all).classes"}, {`classes = ["free"]`, `tenants = ["x"]`, "undelivered.rule[0] (all).tenants"},
		{`name = "all"`, `nam = "all"`, "undelivered.rule.nam"}, {`[log]`, `[[log]`, "line 3"},
	} {
		text := strings.Replace(file, c.old, c.new, 1)
		if text == file {
			t.Fatalf("%q is not there", c.old)
		}
		if code, out, complaint := ask(t, site, text, nil); code != 2 || out != "" || !strings.Contains(complaint, c.want) {
			t.Errorf("%s -> %s: %d %q %q, want %s", c.old, c.new, code, out, complaint, c.want)
		}
	}
}
