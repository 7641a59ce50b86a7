package encap

import "testing"

func BenchmarkPut(b *testing.B) {
	s := keys(b, 1, 1)
	for name, h := range map[string]Header{"established": headers(3)[0], "newFlow": headers(3)[1]} {
		b.Run(name, func(b *testing.B) {
			p := packet(s, h, make([]byte, 1200))
			b.ReportAllocs()
			for b.Loop() {
				h.Put(s.Current, p)
			}
		})
	}
}
