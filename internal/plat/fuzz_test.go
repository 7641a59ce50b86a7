package plat

import "testing"

// FuzzList guards the reader of watch answers: whatever the platform sends, an
// accepted list names its objects and orders them below its own version.
func FuzzList(f *testing.F) {
	f.Add([]byte(`{"version": 3, "objects": [{"name": "a", "version": 2, "value": {}}]}`))
	f.Add([]byte(`{"version": 1, "objects": [{"name": "a", "version": 2, "deleted": true}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		l, err := parseList(b)
		if err != nil {
			if len(l.Objects) != 0 {
				t.Fatalf("a refused answer left %d objects", len(l.Objects))
			}
			return
		}
		for _, o := range l.Objects {
			if o.Name == "" || o.Version > l.Version {
				t.Fatalf("accepted object %q of version %d", o.Name, o.Version)
			}
		}
	})
}
