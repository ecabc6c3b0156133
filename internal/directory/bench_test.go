package directory

import (
	"crypto/sha256"
	"fmt"
	"testing"

	"redwingspread/internal/model"
)

// BenchmarkAuthorize measures the key check of each operation; it must not allocate, and take at most 1 us.
func BenchmarkAuthorize(b *testing.B) {
	digestOf := func(i int) model.KeyDigest { return sha256.Sum256([]byte(fmt.Sprint("key-", i))) }
	tests := map[string]struct {
		tenants int // each has two keys; negative for a configuration without tenants
		known   bool
	}{
		"no tenants":               {tenants: -1},
		"82 tenants":               {tenants: 82, known: true},
		"10000 tenants":            {tenants: 10000, known: true},
		"10000 tenants, wrong key": {tenants: 10000},
	}
	for name, test := range tests {
		b.Run(name, func(b *testing.B) {
			configuration := Configuration{Version: 1, Keyed: test.tenants >= 0}
			for i := range max(test.tenants, 0) {
				configuration.Tenants = append(configuration.Tenants, model.Tenant{
					ID: model.TenantID(fmt.Sprint("tenant-", i)), Keys: []model.KeyDigest{digestOf(2 * i), digestOf(2*i + 1)},
				})
			}
			tracker := NewTracker()
			tracker.SetConfiguration(configuration)
			directory := tracker.Directory()
			keys := make([]model.KeyDigest, 1024)
			for i := range keys {
				keys[i] = digestOf(-1 - i)
				if test.known {
					keys[i] = digestOf(i * 7919 % (2 * test.tenants))
				}
			}
			kind := model.Kind{ID: "desk"}
			want := !configuration.Keyed || test.known
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, allowed := directory.Authorize(kind, keys[i%len(keys)]); allowed != want {
					b.Fatalf("got allowed %v, want %v", allowed, want)
				}
			}
		})
	}
}
