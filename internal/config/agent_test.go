package config

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// TestLoadAgent guards against settings that are accepted with a missing or
// out-of-range value, and against errors that do not name the field.
func TestLoadAgent(t *testing.T) {
	for _, c := range []struct {
		field string
		value any
		path  string
	}{
		{"group", "g", ""},
		{"slowStartSeconds", 3600, ""},
		{"drainLimitSeconds", 604800, ""},
		{"replyPolicy", "perPacket", ""},
		{"healthPath", "/healthz", ""},
		{"service", "", "service"},
		{"place", "", "place"},
		{"hopAddress", "127.0.0.1", "hopAddress"},
		{"hopAddress", "[::1]:1", "hopAddress"},
		{"hopAddress", "0.0.0.0:1", "hopAddress"},
		{"balancers", []string{"127.0.0.1:7001", "b2:7001"}, "balancers[1]"},
		{"peerTLS", map[string]any{"certFile": "c", "keyFile": "k"}, "peerTLS.caFile"},
		{"adminAddress", "", "adminAddress"},
		{"upstream", "https://127.0.0.1:1", "upstream"},
		{"upstream", "http://127.0.0.1:1/x", "upstream"},
		{"upstream", "127.0.0.1:1", "upstream"},
		{"healthPath", "healthz", "healthPath"},
		{"slowStartSeconds", -1, "slowStartSeconds"},
		{"drainLimitSeconds", 604801, "drainLimitSeconds"},
		{"replyPolicy", "random", "replyPolicy"},
		{"certFile", "", "certFile"},
		{"keyFile", "", "keyFile"},
		{"keysFile", "", "keysFile"},
		{"platform", map[string]any{}, "platform.url"},
		{"logLevel", "debug", ""},
		{"logLevel", "loud", "logLevel"},
		{"peerTLS", map[string]any{"certFile": "c"}, "peerTLS.keyFile"},
	} {
		s := map[string]any{
			"service": "listas", "place": "recife", "hopAddress": "127.0.0.1:1", "adminAddress": "127.0.0.1:2",
			"upstream": "http://127.0.0.1:3", "certFile": "c", "keyFile": "k", "keysFile": "x",
			"platform": map[string]any{"url": "http://127.0.0.1:4"},
		}
		s[c.field] = c.value
		b, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		file := filepath.Join(t.TempDir(), "agent.json")
		if err := os.WriteFile(file, b, 0o600); err != nil {
			t.Fatal(err)
		}
		_, err = LoadAgent(file)
		var have *FieldError
		if c.path == "" && err != nil || c.path != "" && (!errors.As(err, &have) || have.Path != c.path) {
			t.Errorf("%s = %v: want an error for %q, have %v", c.field, c.value, c.path, err)
		}
	}
}
