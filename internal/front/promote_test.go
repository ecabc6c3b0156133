package front_test

import (
	"testing"
	"time"

	"redwingspread/platform/standin"
)

// TestPromotionKeepsAcknowledgedCommits guards against promotions of a replica that lacks acknowledged commits while another
// instance holds them.
func TestPromotionKeepsAcknowledgedCommits(t *testing.T) {
	leave := func(f *fleet, id string) {
		_, address := f.cloud.Instance(id)
		f.cloud.Publish(id, address, "draining", 2)
	}
	tests := map[string]struct {
		sync    int
		before  func(f *fleet) // what happens before the write
		lose    func(f *fleet) // how the primary is lost after it
		later   func(f *fleet) // what happens 1.5 s after that
		primary string         // that leads in the end; empty for any
	}{
		"the replica that holds them leaves": {
			before:  func(f *fleet) { leave(f, "seats-1"); f.database.SetDeaf("seats-2", true) },
			lose:    func(f *fleet) { f.crash("seats-0") },
			primary: "seats-1",
		},
		"the entry of the replica that holds them has disappeared": {
			before: func(f *fleet) { f.database.SetDeaf("seats-2", true) },
			lose: func(f *fleet) {
				f.cloud.Store.Remove("servers", "seats-1")
				time.Sleep(time.Second)
				f.crash("seats-0")
			},
			primary: "seats-1",
		},
		"the replica that holds them does not respond for a while": {
			sync:    1,
			before:  func(f *fleet) { f.database.SetDeaf("seats-2", true) },
			lose:    func(f *fleet) { f.crash("seats-1"); f.crash("seats-0") },
			later:   func(f *fleet) { f.revive("seats-1") },
			primary: "seats-1",
		},
		"the primary leaves while its replicas receive nothing": {
			before: func(f *fleet) { f.database.SetDeaf("seats-1", true); f.database.SetDeaf("seats-2", true) },
			lose:   func(f *fleet) { leave(f, "seats-0") },
			later:  func(f *fleet) { f.database.SetDeaf("seats-1", false); f.database.SetDeaf("seats-2", false) },
		},
		"the primary is demoted while its replicas receive nothing, by a host that then disappears": {
			before:  func(f *fleet) { f.database.SetDeaf("seats-1", true); f.database.SetDeaf("seats-2", true) },
			lose:    func(f *fleet) { f.demote("seats-0") },
			primary: "seats-0",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3)
			f.cloud.SetSyncReplicas(test.sync)
			f.cloud.Configure(9, routes...)
			s := f.openSession(f.hosts[0], "desk")
			f.run(s, "WRITE early 1")
			time.Sleep(time.Second) // the configuration is in force and the replicas have received the write
			test.before(f)
			time.Sleep(500 * time.Millisecond)
			f.run(s, "WRITE kept 1")
			time.Sleep(2 * f.database.Lag)
			test.lose(f)
			if test.later != nil {
				time.Sleep(1500 * time.Millisecond)
				test.later(f)
			}
			f.eventually("a primary of a later term is written to", func() bool {
				got, err := f.openSession(f.hosts[1], "desk").Query("WRITE after 1")
				_, term := f.database.Primary()
				return err == nil && got.Code == "" && term > 1
			})
			primary, _ := f.database.Primary()
			if test.primary != "" && primary != test.primary {
				t.Errorf("got primary %s, want %s", primary, test.primary)
			}
			if _, rolledBack := f.database.Log(); len(rolledBack) > 0 {
				t.Errorf("got %d commits rolled back by the promotion of %s, want none", len(rolledBack), primary)
			}
			if got := f.database.Violations(); len(got) > 0 {
				t.Errorf("got violations %v, want none", got)
			}
		})
	}
}

// TestDemotedPrimaryIsReplaced guards against a database that never gets a primary again after a demotion without a promotion, since the
// hosts wait until an instance denies that it leads which never answers: another writer left its entry, or it is gone.
func TestDemotedPrimaryIsReplaced(t *testing.T) {
	complete := func(role, address string) map[string]any {
		return standin.Entry("seats", address, "ready", role, 2, 1)
	}
	other := func(f *fleet) string { _, address := f.cloud.Instance("seats-1"); return address }
	closed := func(f *fleet) string { return string(freeAddresses(f.t, 1)[0]) }
	tests := map[string]func(f *fleet) map[string]any{
		"entry without some fields": func(f *fleet) map[string]any {
			entry := complete("replica", closed(f))
			delete(entry, "Version")
			delete(entry, "born")
			return entry
		},
		"nobody listens at the address":                        func(f *fleet) map[string]any { return complete("replica", closed(f)) },
		"another instance answers at the address":              func(f *fleet) map[string]any { return complete("replica", other(f)) },
		"another instance answers at the address of a primary": func(f *fleet) map[string]any { return complete("primary", other(f)) },
	}
	for name, entry := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3)
			f.cloud.Store.Set("servers", "agent-0", entry(f))
			f.run(f.openSession(f.hosts[0], "desk"), "WRITE early 1")
			f.demote("seats-0")
			f.eventually("a primary of a later term is written to", func() bool {
				s, err := dial(f.hosts[1], "desk")
				if err != nil {
					return false
				}
				defer s.Close()
				got, err := s.Query("WRITE after 1")
				_, term := f.database.Primary()
				return err == nil && got.Code == "" && term > 1
			})
		})
	}
}
