package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validBalancer = `{
  "name": "b1", "place": "recife", "callerIP": "127.0.1.1", "hopAddress": "127.0.0.1:7000",
  "peerAddress": "127.0.0.1:7001", "adminAddress": "127.0.0.1:0", "peers": ["127.0.0.1:7002"],
  "agentNetworks": ["10.0.0.0/8"], "keysFile": "keys.json", "drainLimitSeconds": 5,
  "peerTLS": {"certFile": "c", "keyFile": "k", "caFile": "a"},
  "platform": {"url": "http://127.0.0.1:8000"}
}`

// TestBalancerSettings guards against invalid settings that are accepted and fail
// later, and against errors that do not name the field.
func TestBalancerSettings(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"", "", ""},
		{`"b1"`, `""`, "name"},
		{`"b1"`, `"b/1"`, "name"},
		{`"b1"`, `7`, "name"},
		{`"recife"`, `""`, "place"},
		{`"127.0.1.1"`, `"::1"`, "callerIP"},
		{`"127.0.0.1:7000"`, `"0.0.0.0:7000"`, "hopAddress"},
		{`"127.0.0.1:7000"`, `"[::1]:7000"`, "hopAddress"},
		{`"127.0.0.1:7001"`, `"127.0.0.1:0"`, "peerAddress"},
		{`"127.0.0.1:0"`, `"here"`, "adminAddress"},
		{`["127.0.0.1:7002"]`, `["127.0.0.1:7002", "x"]`, "peers[1]"},
		{`["10.0.0.0/8"]`, `[]`, "agentNetworks"},
		{`["10.0.0.0/8"]`, `["10.0.0.1/8"]`, "agentNetworks[0]"},
		{`"keys.json"`, `""`, "keysFile"},
		{`"drainLimitSeconds": 5`, `"drainLimitSeconds": -1`, "drainLimitSeconds"},
		{`"name"`, `"logLevel": "loud", "name"`, "logLevel"},
		{`"caFile": "a"`, `"caFile": ""`, "peerTLS.caFile"},
		{`"http://127.0.0.1:8000"`, `"127.0.0.1:8000"`, "platform.url"},
		{`:8000"`, `:8000", "requestTimeoutMillis": 9`, "platform.requestTimeoutMillis"},
		{`"name"`, `"configName": "a/b", "name"`, "configName"},
		{`"name"`, `"unknown": 1, "name"`, `json: unknown field "unknown"`},
		{"\n}", "\n} {}", "(end)"},
	} {
		file := filepath.Join(t.TempDir(), "settings.json")
		if err := os.WriteFile(file, []byte(strings.Replace(validBalancer, c.old, c.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadBalancer(file)
		var field *FieldError
		if err != nil && !strings.Contains(err.Error(), file) {
			t.Errorf("%s -> %s: the error does not name the settings file: %v", c.old, c.new, err)
		}
		switch {
		case c.want == "" && err != nil:
			t.Errorf("want no error, have %v", err)
		case c.want != "" && errors.As(err, &field) && field.Path == c.want:
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || field != nil):
			t.Errorf("%s -> %s: want an error about %s, have %v", c.old, c.new, c.want, err)
		}
	}
}

// TestParseAccepted guards against invalid configurations that are accepted, and
// against errors that do not name the field.
func TestParseAccepted(t *testing.T) {
	const valid = `{"generation": 3, "writer": "w", "declaration": {"name": "main", "places": [], "services": [{"name": "listas", "address": "127.0.0.1:4433", "limits": {}}]}}`
	for _, c := range []struct{ old, new, want string }{
		{"", "", ""},
		{"3", "0", "generation"},
		{`"main"`, `"other"`, "declaration.name"},
		{"127.0.0.1:4433", "127.0.0.1", "services[0].address"},
		{`"writer"`, `"writes"`, "writes"},
		{"}]}}", "}]}} 1", "(end)"},
	} {
		a, err := ParseAccepted("main", []byte(strings.Replace(valid, c.old, c.new, 1)))
		if c.want == "" && (err != nil || a.Generation != 3 || len(a.Declaration.Services) != 1) {
			t.Errorf("want generation 3, have %+v, %v", a, err)
		}
		if c.want != "" && (err == nil || a != nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s -> %s: want an error about %s, have %v, %v", c.old, c.new, c.want, a, err)
		}
	}
}
