package mesh

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"reflect"
	"testing"

	"redwingspread/internal/model"
	"redwingspread/pkg/api/meshapi"
)

// TestTenants guards against tenants that change on their way between hosts, keys or digests that others can read, and a host that
// believes that callers need no keys since the other host knows nothing of tenants or of the configuration.
func TestTenants(t *testing.T) {
	const apiKey = "s3cr3t"
	digest := model.KeyDigest(sha256.Sum256([]byte(apiKey)))
	tenants := map[model.TenantID]model.Tenant{
		"a": {ID: "a", Keys: []model.KeyDigest{digest, {7}}, Limited: true, Rate: 2.5, Burst: 0},
		"b": {ID: "b", Keys: []model.KeyDigest{{8}}},
	}
	other := NewKey()
	tests := map[string]struct {
		tenants map[model.TenantID]model.Tenant
		open    bool // callers need no keys
		has     uint64
		key     *Key // of the receiving host; nil for that of the sender
		change  func(message *meshapi.Directory)
		none    bool // no configuration is believed
		fails   bool
	}{
		"tenants":                        {tenants: tenants},
		"no tenants in force":            {tenants: map[model.TenantID]model.Tenant{}},
		"no keys needed":                 {open: true},
		"up to date":                     {tenants: tenants, has: 9, none: true},
		"another shared key":             {tenants: tenants, key: &other, fails: true},
		"modified":                       {tenants: tenants, change: func(m *meshapi.Directory) { m.Secrets[len(m.Secrets)-1] ^= 1 }, fails: true},
		"cut off":                        {tenants: tenants, change: func(m *meshapi.Directory) { m.Secrets = m.Secrets[:5] }, fails: true},
		"keyed without the secrets":      {tenants: tenants, change: func(m *meshapi.Directory) { m.Secrets = nil }, fails: true},
		"a host of the release before":   {tenants: tenants, change: func(m *meshapi.Directory) { m.Keyed, m.Secrets = meshapi.OptBool{}, nil }, none: true},
		"of that release, without kinds": {open: true, change: func(m *meshapi.Directory) { m.Keyed, m.Kinds = meshapi.OptBool{}, nil }, none: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := fullDirectory()
			kind := d.Kinds["desk"]
			kind.Public = true
			d.Kinds["desk"], d.Keyed, d.Tenants = kind, !test.open, test.tenants
			message, err := encodeDirectory(&testKey, &meshapi.Ask{Version: test.has}, d, nil)
			if err != nil {
				t.Fatal(err)
			}
			if test.change != nil {
				test.change(&message)
			}
			body, err := message.MarshalJSON()
			if err != nil {
				t.Fatal(err)
			}
			for _, hidden := range []string{apiKey, string(digest[:]), hex.EncodeToString(digest[:]), base64.StdEncoding.EncodeToString(digest[:])[:40]} {
				if bytes.Contains(body, []byte(hidden)) || bytes.Contains(message.Secrets, []byte(hidden)) {
					t.Errorf("got %s in the message, want it hidden", hidden)
				}
			}
			var received meshapi.Directory
			if err := received.UnmarshalJSON(body); err != nil {
				t.Fatal(err)
			}
			update, err := decodeDirectory(cmp.Or(test.key, &testKey), "host h1", nil, 0, &received)
			if test.fails {
				if err == nil {
					t.Errorf("got %+v, want an error", update.Configuration)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if got := update.Configuration == nil; got != test.none {
				t.Fatalf("got the configuration %+v, want none: %v", update.Configuration, test.none)
			}
			if test.none {
				return
			}
			got := make(map[model.TenantID]model.Tenant)
			for _, tenant := range update.Configuration.Tenants {
				got[tenant.ID] = tenant
			}
			if update.Configuration.Keyed == test.open || len(got) != len(test.tenants) || len(got) > 0 && !reflect.DeepEqual(got, test.tenants) {
				t.Errorf("got keys needed %v and the tenants %+v, want %v and %+v", update.Configuration.Keyed, got, !test.open, test.tenants)
			}
			if got := update.Configuration.Kinds[0]; got != kind {
				t.Errorf("got %+v, want %+v", got, kind)
			}
		})
	}
}
