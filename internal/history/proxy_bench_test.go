package history_test

import (
	"context"
	"testing"

	"redwingspread/internal/config"
	"redwingspread/internal/proxy"
)

// BenchmarkRead measures the overhead of proxy and owner per read: session token, policy, routing, queueing and connection
// pool, without encoding or network.
func BenchmarkRead(b *testing.B) {
	policy, err := config.Compile(1, config.Default())
	if err != nil {
		b.Fatal(err)
	}
	s := newProxyServer(newFakeDatabase(1, "seats", "p", "q", "r"), policy)
	defer s.close()
	request := proxy.Request{Database: "seats", Kind: "counter", Arguments: map[string]string{"list": "other"}, ID: "r"}
	b.ReportAllocs()
	for b.Loop() {
		answer, err := s.proxy.Execute(context.Background(), request)
		if err != nil {
			b.Fatal(err)
		}
		request.Token = answer.Token
	}
}
