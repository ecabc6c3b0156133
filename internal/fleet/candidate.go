package fleet

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"redwingspread/internal/model"
)

// Proximity tiers of a host, nearest to the primary first.
const (
	tierDataCentre = iota
	tierRegion
	tierOther
)

// scoredHost is a host with the keys that candidates are sorted by.
type scoredHost struct {
	host  model.HostID
	tier  int
	score uint64
}

// rankCandidates sorts the hosts as candidates for the database by proximity to its primary, then by rendezvous hashing.
func rankCandidates(database model.DatabaseID, primary model.Instance, hosts []model.Host) []model.HostID {
	scores := make([]scoredHost, 0, len(hosts))
	for _, host := range hosts {
		scores = append(scores, scoredHost{host.ID, tierOf(primary, host), rendezvousScore(database, host.ID)})
	}
	slices.SortFunc(scores, compareScores)
	order := make([]model.HostID, 0, len(scores))
	for _, item := range scores {
		order = append(order, item.host)
	}
	return order
}

// compareScores sorts by tier, then by descending score.
func compareScores(a, b scoredHost) int {
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

// tierOf returns the proximity tier of a host.
func tierOf(primary model.Instance, host model.Host) int {
	switch {
	case primary.DataCentre == host.DataCentre:
		return tierDataCentre
	case primary.Region == host.Region:
		return tierRegion
	}
	return tierOther
}

// rendezvousScore returns the rendezvous hashing score of a host for a database.
func rendezvousScore(database model.DatabaseID, host model.HostID) uint64 {
	return xxhash.Sum64String(string(database) + "\x00" + string(host))
}

// highestScore returns the host with the highest score for the database, or "" without hosts.
func highestScore(database model.DatabaseID, hosts []model.Host) (chosen model.HostID) {
	var highest uint64
	for _, host := range hosts {
		if score := rendezvousScore(database, host.ID); chosen == "" || score > highest {
			chosen = host.ID
			highest = score
		}
	}
	return chosen
}
