package failover

import (
	"fmt"
	"testing"
	"time"

	"redwingspread/internal/model"
)

// contact is how one host is in contact with the primary after a partial loss.
type contact int

// The kinds of contact.
const (
	none     contact = iota // neither connections nor proofs
	reached                 // it answers the host
	lost                    // it does not answer the host
	repeated                // other hosts pass proofs on, and the host has no contact itself
	lostTold                // it does not answer the host, while other hosts pass proofs on
)

// health returns what a host with the contact knows of the primary "a" at a time, which was lost at 1000 ms.
func (c contact) health(ms int) Health {
	proved := Health{Instance: "a", Term: 1, LastProof: after(ms)}
	if ms < 1000 {
		if c == none || c == repeated {
			return Health{Instance: "a", Term: 1, RemoteProof: after(ms)}
		}
		return proved
	}
	switch c {
	case reached:
		return proved
	case lost:
		return Health{Instance: "a", Term: 1, LastProof: after(950), SilentSince: after(1000)}
	case repeated:
		return Health{Instance: "a", Term: 1, RemoteProof: after(ms)}
	case lostTold:
		return Health{Instance: "a", Term: 1, LastProof: after(950), SilentSince: after(1000), RemoteProof: after(ms)}
	}
	return Health{Instance: "a", Term: 1, RemoteProof: after(950)}
}

// TestPartialLoss plays the monitors of a fleet whose hosts differ in their contact with the primary. It guards against a loss that
// goes unjudged since most hosts relay their requests and can't tell, and against a change on the word of too few hosts.
func TestPartialLoss(t *testing.T) {
	const votes = 250 // milliseconds between two exchanges of observations
	tests := map[string]struct {
		hosts    int
		holders  int // hosts that keep connections to the primary, the first ones; zero where all do
		contacts map[contact]int
		until    int // milliseconds
		want     Decision
	}{
		"most hosts only relay":                         {hosts: 59, holders: 4, contacts: map[contact]int{lost: 4}, until: 2500, want: Failover},
		"those that relay probe it as well":             {hosts: 59, holders: 4, contacts: map[contact]int{lost: 23}, until: 2500, want: Failover},
		"without holders, a few scouts observe it":      {hosts: 59, holders: -1, contacts: map[contact]int{lost: 3}, until: 2500, want: Failover},
		"remote proofs repeated by hosts without one":   {hosts: 59, holders: 4, contacts: map[contact]int{lost: 4, repeated: 55}, until: 2500, want: Failover},
		"remote proofs repeated, none has a connection": {hosts: 59, holders: 4, contacts: map[contact]int{repeated: 59}, until: 5000, want: Keep},
		"remote proofs reach some of those that lost it": {
			hosts: 59, holders: 4, contacts: map[contact]int{lost: 2, lostTold: 2}, until: 2500, want: Failover,
		},
		"one host's word, the holders reach it":       {hosts: 59, holders: 4, contacts: map[contact]int{reached: 4, lost: 1}, until: 5000, want: Keep},
		"one host's word, it is the only holder":      {hosts: 59, holders: 1, contacts: map[contact]int{lost: 1}, until: 5000, want: Keep},
		"one host's word, nobody else observes it":    {hosts: 59, holders: -1, contacts: map[contact]int{lost: 1}, until: 5000, want: Keep},
		"one holder of four doubts it":                {hosts: 59, holders: 4, contacts: map[contact]int{lost: 1}, until: 5000, want: Keep},
		"two hosts, both observe it":                  {hosts: 59, holders: 2, contacts: map[contact]int{lost: 2}, until: 2500, want: Failover},
		"two of three that observe it":                {hosts: 59, holders: 3, contacts: map[contact]int{lost: 2}, until: 5000, want: Keep},
		"three of four that observe it":               {hosts: 59, holders: 4, contacts: map[contact]int{lost: 3}, until: 2500, want: Failover},
		"observers disagree, half and half":           {hosts: 59, holders: 4, contacts: map[contact]int{lost: 2, reached: 2}, until: 5000, want: Keep},
		"observers disagree, a few still reach it":    {hosts: 59, holders: 4, contacts: map[contact]int{lost: 30, reached: 10}, until: 5000, want: Switchover},
		"observers disagree, most still reach it":     {hosts: 59, holders: 4, contacts: map[contact]int{lost: 10, reached: 30}, until: 5000, want: Keep},
		"small, silent to all":                        {hosts: 4, contacts: map[contact]int{lost: 4}, until: 2500, want: Failover},
		"small, silent to most":                       {hosts: 4, contacts: map[contact]int{lost: 3}, until: 2500, want: Failover},
		"small, silent to most, one reaches it":       {hosts: 4, contacts: map[contact]int{lost: 3, reached: 1}, until: 5000, want: Switchover},
		"small, silent to half, the others can't say": {hosts: 4, contacts: map[contact]int{lost: 2}, until: 5000, want: Keep},
		"small, silent to half":                       {hosts: 4, contacts: map[contact]int{lost: 2, reached: 2}, until: 5000, want: Keep},
		"small, silent to one":                        {hosts: 4, contacts: map[contact]int{lost: 1, reached: 3}, until: 5000, want: Keep},
		"three hosts, silent to two":                  {hosts: 3, contacts: map[contact]int{lost: 2}, until: 2500, want: Failover},
		"two hosts, silent to one":                    {hosts: 2, contacts: map[contact]int{lost: 1}, until: 5000, want: Keep},
	}
	for name, test := range tests {
		for _, unfenced := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/unfenced %v", name, unfenced), func(t *testing.T) {
				var observers map[model.HostID]bool
				if test.holders != 0 {
					observers = make(map[model.HostID]bool)
				}
				var ids []model.HostID
				var contacts []contact
				for _, c := range []contact{lost, lostTold, reached, repeated} {
					for range test.contacts[c] {
						contacts = append(contacts, c)
					}
				}
				monitors := make(map[model.HostID]*Monitor)
				for i := range test.hosts {
					id := model.HostID(fmt.Sprintf("h%02d", i))
					ids = append(ids, id)
					if i < test.holders {
						observers[id] = true
					}
					if i >= len(contacts) {
						contacts = append(contacts, none)
					}
					monitors[id] = New(DefaultTiming())
					monitors[id].Unfenced, monitors[id].VoteMaxAge, monitors[id].Observers = unfenced, time.Second, observers
				}
				got, decided := Keep, 0
				for ms := 0; ms <= test.until && got == Keep; ms += 50 {
					for i, id := range ids {
						health := map[model.InstanceID]Health{"a": contacts[i].health(ms)}
						monitors[id].UpdatePrimary(after(ms), threeMembers, health)
					}
					for _, id := range ids {
						if ms%votes != 0 || !monitors[id].Reports(after(ms)) {
							continue
						}
						for _, to := range ids {
							observation := monitors[id].OwnObservation()
							observation.ReceivedAt = after(ms)
							if to != id {
								monitors[to].SetPeer(id, observation)
							}
						}
					}
					for _, id := range ids {
						if decision, _, _ := monitors[id].Decide(after(ms), id, ids, len(ids), threeMembers); decision != Keep {
							got, decided = decision, ms
							break
						}
					}
				}
				if got != test.want {
					t.Errorf("got decision %v at %d ms, want %v", got, decided, test.want)
				}
			})
		}
	}
}

// TestOldVotes guards against a change on the word of hosts that found the primary silent once and have not said so since.
func TestOldVotes(t *testing.T) {
	hosts := []model.HostID{"h1", "h2", "h3", "h4"}
	tests := map[string]struct {
		age  int // of the other hosts' observations, in milliseconds
		want Decision
	}{
		"new": {age: 200, want: Failover},
		"old": {age: 5000, want: Keep},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			monitor := New(DefaultTiming())
			monitor.VoteMaxAge = 1200 * time.Millisecond
			monitor.primary, monitor.term, monitor.state, monitor.stateSince = "a", 1, Silent, after(9000)
			for _, host := range hosts[1:] {
				monitor.SetPeer(host, Observation{Instance: "a", Term: 1, State: Silent, Since: after(1000), ReceivedAt: after(10000 - test.age)})
			}
			if got, counts, _ := monitor.Decide(after(10000), "h1", hosts, len(hosts), threeMembers); got != test.want {
				t.Errorf("got decision %v (%+v), want %v", got, counts, test.want)
			}
		})
	}
}
