package upstream

import (
	"fmt"
	"net/http"
	"testing"
)

// BenchmarkSlopeHead measures renderHead by the size of the body. With capacity for every body it
// allocated 1,536 B a request with 1 kB, 65,536 B with 60 kB and 376,832 B with 360 kB. With
// capacity only for bodies that are sent in the same write it allocates 1,536, 512 and 512 B.
func BenchmarkSlopeHead(b *testing.B) {
	for _, size := range []int{1 << 10, 60 << 10, 360 << 10} {
		b.Run(fmt.Sprintf("n=%d", size), func(b *testing.B) {
			r := &Request{Method: http.MethodPost, URI: "/a/b", Host: "h.example", Header: http.Header{"Id": {"r-1"}}, Body: make([]byte, size)}
			b.ReportAllocs()
			for b.Loop() {
				_ = r.renderHead()
			}
		})
	}
}
