package allowance

import (
	"cmp"
	"hash/fnv"
	"slices"

	"redwingspread/internal/model"
)

// compareIDs orders hosts by their ids.
func compareIDs(x, y model.HostID) int { return cmp.Compare(x, y) }

// weight returns the same pseudo-random number for the same texts on all hosts.
func weight(texts ...string) uint64 {
	hash := fnv.New64a()
	for _, text := range texts {
		_, _ = hash.Write([]byte(text)) // never fails
		_, _ = hash.Write([]byte{0})
	}
	x := hash.Sum64() // its upper bits depend little on the last bytes, so mix them
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// sortByWeight returns the hosts in descending order of their weights.
func sortByWeight(hosts []Host, weightOf func(Host) uint64) []Host {
	type weighted struct {
		host   Host
		weight uint64
	}
	entries := make([]weighted, 0, len(hosts))
	for _, host := range hosts {
		entries = append(entries, weighted{host, weightOf(host)})
	}
	slices.SortFunc(entries, func(x, y weighted) int {
		return cmp.Or(cmp.Compare(y.weight, x.weight), compareIDs(x.host.ID, y.host.ID))
	})
	sorted := make([]Host, 0, len(hosts))
	for _, entry := range entries {
		sorted = append(sorted, entry.host)
	}
	return sorted
}

// hashOrder returns the hosts in a tenant's order; the first ones keep its parts.
func hashOrder(tenant model.TenantID, hosts []Host) []Host {
	return sortByWeight(hosts, func(h Host) uint64 { return weight(string(tenant), string(h.ID)) })
}

// shareIn returns how many parts a host keeps among hosts in the tenant's order.
func (t *tenant[T]) shareIn(order []Host, host model.HostID) int {
	index := slices.IndexFunc(order, func(h Host) bool { return h.ID == host })
	if index < 0 || t.limit.none() {
		return 0
	}
	return (t.parts - index + len(order) - 1) / len(order)
}

// sortedByID returns the hosts in the order of their ids.
func sortedByID(hosts []Host) []Host {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(x, y Host) int { return compareIDs(x.ID, y.ID) })
	return sorted
}

// preferred returns the other hosts among the owners, nearest first. The order of equally near ones differs between hosts.
func (b *Book[T]) preferred(tenant model.TenantID, owners []Host) []Host {
	others := slices.DeleteFunc(slices.Clone(owners), func(h Host) bool { return h.ID == b.self.ID })
	others = sortByWeight(others, func(h Host) uint64 { return weight(string(tenant), string(h.ID), string(b.self.ID)) })
	slices.SortStableFunc(others, func(x, y Host) int { return cmp.Compare(b.distance(x), b.distance(y)) })
	return others
}

// distance returns 0 for a host in this host's data centre, 1 in its region and 2 elsewhere.
func (b *Book[T]) distance(h Host) int {
	switch {
	case h.DataCentre == b.self.DataCentre:
		return 0
	case h.Region == b.self.Region:
		return 1
	}
	return 2
}
