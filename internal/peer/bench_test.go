package peer

import (
	"context"
	"net/http"
	"testing"

	"hemlockquay/internal/wire"
)

type echoDispatch struct{}

func (echoDispatch) Do(r *wire.Request, a *wire.Answer) error {
	*a = wire.Answer{ID: r.ID, Status: http.StatusOK, Header: r.Header, Body: r.Body, Sum: r.Sum}
	return nil
}

func BenchmarkCall(b *testing.B) {
	s, err := Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	if err := s.Register("Dispatch", echoDispatch{}); err != nil {
		b.Fatal(err)
	}
	go s.Serve()
	for _, size := range []struct {
		name  string
		bytes int
	}{{"256B", 256}, {"16KiB", 16 << 10}, {"256KiB", 256 << 10}} {
		b.Run(size.name, func(b *testing.B) { benchmarkCallOfSize(b, s.Addr(), size.bytes) })
	}
}

func benchmarkCallOfSize(b *testing.B, addr string, size int) {
	c := NewClient(addr, 4)
	defer c.Close()
	body := make([]byte, size)
	request := &wire.Request{
		ID: "vm1-abc-1", Service: "shelf", Customer: "listeners", Key: "shelf-key-17", Method: http.MethodGet, Path: "/work",
		Header: http.Header{"Accept": {"*/*"}, "User-Agent": {"benchmark"}, "Accept-Encoding": {"gzip"}, "X-Trace": {"0123456789"}},
		Body:   body, Sum: wire.Sum(body),
	}
	b.ReportAllocs()
	b.SetBytes(int64(size))
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			var answer wire.Answer
			if err := c.Call(context.Background(), wire.MethodDo, request, &answer); err != nil || !answer.Valid(request.ID) {
				b.Error("broken answer", err)
				return
			}
		}
	})
}
