package directory

import (
	"testing"

	"redwingspread/internal/model"
)

// digest returns the digest that stands for a key in the tests.
func digest(key string) (d model.KeyDigest) {
	copy(d[:], key)
	return d
}

// tenant returns a tenant with keys.
func tenant(id model.TenantID, keys ...string) model.Tenant {
	t := model.Tenant{ID: id}
	for _, key := range keys {
		t.Keys = append(t.Keys, digest(key))
	}
	return t
}

// TestAuthorize guards against keys that work without being in force, or for another tenant, and against callers with a valid key who
// are refused.
func TestAuthorize(t *testing.T) {
	keyed := func(version model.Version, tenants ...model.Tenant) Configuration {
		return Configuration{Version: version, Keyed: true, Tenants: tenants}
	}
	tests := map[string]struct {
		configurations []Configuration
		key            string
		public         bool
		tenant         model.TenantID
		allowed        bool
	}{
		"no configuration":                       {key: "k1", allowed: true},
		"configuration without tenants":          {configurations: []Configuration{{Version: 3}}, key: "k1", allowed: true},
		"configuration with an empty list":       {configurations: []Configuration{keyed(3)}, key: "k1"},
		"key of a tenant":                        {configurations: []Configuration{keyed(3, tenant("a", "k1"), tenant("b", "k2"))}, key: "k2", tenant: "b", allowed: true},
		"second key of a tenant":                 {configurations: []Configuration{keyed(3, tenant("a", "k1", "k2"))}, key: "k2", tenant: "a", allowed: true},
		"unknown key":                            {configurations: []Configuration{keyed(3, tenant("a", "k1"))}, key: "k2"},
		"public, unknown key":                    {configurations: []Configuration{keyed(3, tenant("a", "k1"))}, key: "k2", public: true, allowed: true},
		"public, key of a tenant":                {configurations: []Configuration{keyed(3, tenant("a", "k1"))}, key: "k1", public: true, tenant: "a", allowed: true},
		"key of two tenants":                     {configurations: []Configuration{keyed(3, tenant("a", "k1"), tenant("b", "k1"))}, key: "k1"},
		"key of three tenants":                   {configurations: []Configuration{keyed(3, tenant("a", "k1"), tenant("b", "k1"), tenant("a", "k1"))}, key: "k1"},
		"other key of one of them":               {configurations: []Configuration{keyed(3, tenant("a", "k1", "k3"), tenant("b", "k1"))}, key: "k3", tenant: "a", allowed: true},
		"key twice under one tenant":             {configurations: []Configuration{keyed(3, tenant("a", "k1", "k1"), tenant("a", "k1"))}, key: "k1", tenant: "a", allowed: true},
		"withdrawn by a newer version":           {configurations: []Configuration{keyed(3, tenant("a", "k1", "k2")), keyed(4, tenant("a", "k2"))}, key: "k1"},
		"added by a newer version":               {configurations: []Configuration{keyed(3, tenant("a", "k2")), keyed(4, tenant("a", "k1", "k2"))}, key: "k1", tenant: "a", allowed: true},
		"an older version doesn't bring it back": {configurations: []Configuration{keyed(4, tenant("a", "k2")), keyed(3, tenant("a", "k1"))}, key: "k1"},
		"the same version doesn't bring it back": {configurations: []Configuration{keyed(4, tenant("a", "k2")), keyed(4, tenant("a", "k1"))}, key: "k1"},
		"given to another tenant":                {configurations: []Configuration{keyed(3, tenant("a", "k1")), keyed(4, tenant("a", "k2"), tenant("b", "k1"))}, key: "k1", tenant: "b", allowed: true},
		"shared no more":                         {configurations: []Configuration{keyed(3, tenant("a", "k1"), tenant("b", "k1")), keyed(4, tenant("b", "k1"))}, key: "k1", tenant: "b", allowed: true},
		"tenants taken out of the configuration": {configurations: []Configuration{keyed(3, tenant("a", "k1")), {Version: 4}}, key: "k2", allowed: true},
		"tenants brought into the configuration": {configurations: []Configuration{{Version: 3}, keyed(4, tenant("a", "k1"))}, key: "k2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			for _, configuration := range test.configurations {
				tracker.SetConfiguration(configuration)
			}
			got, allowed := tracker.Directory().Authorize(model.Kind{ID: "desk", Public: test.public}, digest(test.key))
			if got != test.tenant || allowed != test.allowed {
				t.Errorf("got tenant %q, allowed %v, want %q, %v", got, allowed, test.tenant, test.allowed)
			}
		})
	}
}

// TestKeyedOnly guards against a host that counts as ready though it refuses everything, and one that does not though it could serve.
func TestKeyedOnly(t *testing.T) {
	tests := map[string]struct {
		keyed bool
		kinds []model.Kind
		want  bool
	}{
		"without tenants":   {kinds: []model.Kind{{ID: "desk"}}},
		"no public kind":    {keyed: true, kinds: []model.Kind{{ID: "desk"}, {ID: "batch"}}, want: true},
		"one public kind":   {keyed: true, kinds: []model.Kind{{ID: "desk"}, {ID: "view", Public: true}}},
		"no kind of any":    {keyed: true, want: true},
		"all are public":    {keyed: true, kinds: []model.Kind{{ID: "view", Public: true}}},
		"public, not keyed": {kinds: []model.Kind{{ID: "view", Public: true}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			tracker.SetConfiguration(Configuration{Version: 3, Keyed: test.keyed, Kinds: test.kinds})
			if got := tracker.Directory().KeyedOnly(); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestTenantTwice guards against hosts that learn of fewer keys from another host than that one has in force: they hear of the tenants
// by name.
func TestTenantTwice(t *testing.T) {
	tracker := NewTracker()
	tracker.SetConfiguration(Configuration{Version: 3, Keyed: true, Tenants: []model.Tenant{tenant("a", "k1"), tenant("a", "k2")}})
	if got := len(tracker.Directory().Tenants["a"].Keys); got != 2 {
		t.Errorf("got %d keys of the tenant, want 2", got)
	}
}

// TestWeightsFollowTheConfiguration guards against turns by the weights of an older configuration, and against turns of tenants where
// none are configured.
func TestWeightsFollowTheConfiguration(t *testing.T) {
	configuration := func(version model.Version, rates ...model.Rate) Configuration {
		c := Configuration{Version: version, Keyed: len(rates) > 0}
		for i, rate := range rates {
			c.Tenants = append(c.Tenants, model.Tenant{ID: model.TenantID(rune('a' + i)), Limited: true, Rate: rate})
		}
		return c
	}
	tests := map[string]struct {
		configurations []Configuration
		want           model.Weight // of tenant b; zero for no weights
	}{
		"no configuration":      {},
		"without tenants":       {configurations: []Configuration{configuration(3)}},
		"with tenants":          {configurations: []Configuration{configuration(3, 10, 20)}, want: 2},
		"a newer version":       {configurations: []Configuration{configuration(3, 10, 20), configuration(4, 10, 50)}, want: 5},
		"an older version":      {configurations: []Configuration{configuration(4, 10, 20), configuration(3, 10, 50)}, want: 2},
		"tenants are taken out": {configurations: []Configuration{configuration(3, 10, 20), configuration(4)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			for _, c := range test.configurations {
				tracker.SetConfiguration(c)
			}
			got := tracker.Directory().Weights
			if (got != nil) != (test.want > 0) || (got != nil && got.Of("b") != test.want) {
				t.Errorf("got weights %v, want %v for b", got, test.want)
			}
		})
	}
}
