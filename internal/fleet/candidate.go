package fleet

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"redwingspread/internal/model"
)

// nearness tiers: hosts in the primary's data centre come first, then those in its region, then the rest.
const (
	nearDataCentre = iota
	nearRegion
	far
)

// scored is a host with its place in the order of candidates.
type scored struct {
	host  model.HostID
	tier  int
	score uint64
}

// rank orders the hosts as candidates for the database by nearness to its primary, then by rendezvous hashing.
func rank(database model.DatabaseID, primary model.Instance, hosts []model.Host) []model.HostID {
	scores := make([]scored, 0, len(hosts))
	for _, host := range hosts {
		scores = append(scores, scored{host.ID, tier(primary, host), weight(database, host.ID)})
	}
	slices.SortFunc(scores, compareScores)
	order := make([]model.HostID, 0, len(scores))
	for _, item := range scores {
		order = append(order, item.host)
	}
	return order
}

// compareScores orders by tier, then by the higher score.
func compareScores(a, b scored) int {
	switch {
	case a.tier != b.tier:
		return a.tier - b.tier
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	}
	return 0
}

// tier tells how near a host is to the primary.
func tier(primary model.Instance, host model.Host) int {
	switch {
	case primary.DataCentre == host.DataCentre:
		return nearDataCentre
	case primary.Region == host.Region:
		return nearRegion
	}
	return far
}

// weight is the highest-random-weight score of a host for a database.
func weight(database model.DatabaseID, host model.HostID) uint64 {
	return xxhash.Sum64String(string(database) + "\x00" + string(host))
}

// best returns the host with the highest score for the database, or nothing without hosts.
func best(database model.DatabaseID, hosts []model.Host) (chosen model.HostID) {
	var highest uint64
	for _, host := range hosts {
		if score := weight(database, host.ID); chosen == "" || score > highest {
			chosen = host.ID
			highest = score
		}
	}
	return chosen
}
