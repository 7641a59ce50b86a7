package plat

import "testing"

// FuzzList checks that parseList accepts only lists whose objects have a name
// and a version not above that of the list, whatever the platform sends.
func FuzzList(f *testing.F) {
	f.Add([]byte(`{"version": 3, "objects": [{"name": "a", "version": 2, "value": {}}]}`))
	f.Add([]byte(`{"version": 1, "objects": [{"name": "a", "version": 2, "deleted": true}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		l, err := parseList(b)
		if err != nil {
			if len(l.Objects) != 0 {
				t.Fatalf("a rejected response returned %d objects", len(l.Objects))
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
