package holder

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"redwingspread/internal/model"
)

// MaxHosts is the greatest number of hosts of a set.
const MaxHosts = 8

// overlap is how many times its part of the hosts a tenant gets, so that a large tenant doesn't fill the only host that it has.
const overlap = 1.5

// Host is a host that keeps connections to an instance.
type Host struct {
	ID      model.HostID
	Address model.Address // where it takes requests that other hosts pass on
}

// Set is the hosts that keep connections to one instance, as one host uses it; it is immutable.
type Set struct {
	self    model.HostID
	members []member
}

// member is a host of a set.
type member struct {
	Host
	seed       uint64 // of the instance and the host, the same on all hosts
	preference uint64 // of the host that uses the set; the lowest one is preferred
}

// New returns the set of the hosts that keep connections to an instance, which self uses; more than MaxHosts are left out.
func New(instance model.InstanceID, self model.HostID, hosts []Host) *Set {
	s := &Set{self: self}
	for _, host := range hosts {
		s.members = append(s.members, member{
			Host:       host,
			seed:       xxhash.Sum64String(string(instance) + "/" + string(host.ID)),
			preference: xxhash.Sum64String(string(self) + "/" + string(instance) + "/" + string(host.ID)),
		})
	}
	slices.SortFunc(s.members, func(a, b member) int { return cmp.Compare(a.preference, b.preference) })
	s.members = s.members[:min(len(s.members), MaxHosts)]
	return s
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Includes reports whether the host is in the set.
func (s *Set) Includes(host model.HostID) bool {
	return slices.ContainsFunc(s.members, func(m member) bool { return m.ID == host })
}

// Order appends the hosts to the buffer, the one to take a request of the tenant first, and the others in the order in which they stand
// in for it. The part is that of the tenant of all tenants' work; the first ones, as many as sharing says, share its requests.
//
// Connections belong to tenants, so that one host takes what all hosts have of a small tenant: a connection is then used by the next
// request instead of being closed for another tenant's. Hosts agree on the order by rendezvous hashing. A large tenant has several hosts,
// of which each host prefers itself, and else spreads the requests. Without a tenant each host has its own order.
func (s *Set) Order(buffer []Host, tenant model.TenantID, part float64) (order []Host, sharing int) {
	var scores [MaxHosts]uint64
	var ranked [MaxHosts]int
	key := xxhash.Sum64String(string(tenant))
	count := len(s.members)
	for i := range count {
		ranked[i], scores[i] = i, mix(s.members[i].seed^key)
		for j := i; tenant != "" && j > 0 && scores[ranked[j]] < scores[ranked[j-1]]; j-- {
			ranked[j], ranked[j-1] = ranked[j-1], ranked[j]
		}
	}
	sharing = s.spread(tenant, part)
	slices.SortFunc(ranked[:sharing], func(a, b int) int { // members are in order of preference
		return cmp.Or(compareBool(s.members[b].ID == s.self, s.members[a].ID == s.self), cmp.Compare(a, b))
	})
	for i := range count {
		buffer = append(buffer, s.members[ranked[i]].Host)
	}
	return buffer, sharing
}

// spread returns the number of hosts that share a tenant's requests.
func (s *Set) spread(tenant model.TenantID, part float64) int {
	if tenant == "" {
		return len(s.members)
	}
	return min(max(int(math.Ceil(part*overlap*float64(len(s.members)))), 1), len(s.members))
}

// mix spreads the bits of a number (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// TakesItself reports whether the host that uses the set takes a request of the tenant itself.
func (s *Set) TakesItself(tenant model.TenantID, part float64) bool {
	var buffer [MaxHosts]Host
	order, _ := s.Order(buffer[:0], tenant, part)
	return len(order) > 0 && order[0].ID == s.self
}
