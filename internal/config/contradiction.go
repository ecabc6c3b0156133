package config

import (
	"fmt"

	"redwingspread/internal/model"
)

// checkContradictions records each pair of contradictory exceptions.
func (d Document) checkContradictions(p *Problems) {
	for i, e := range d.Exceptions {
		for j := i + 1; j < len(d.Exceptions); j++ {
			f := d.Exceptions[j]
			if d.contradict(e, f) {
				p.add(fmt.Sprintf("exceptions[%d]", j), string(f.Name), fmt.Sprintf(
					"a scope or value that does not contradict %s (exceptions[%d]): both set %s, to %s and %s, in scopes that overlap, and neither is more specific",
					e.Name, i, e.Setting, e.Value, f.Value))
			}
		}
	}
}

// contradict reports whether two equally specific exceptions set different values for the same work.
func (d Document) contradict(e, f Exception) bool {
	if e.Setting != f.Setting || e.Value == f.Value || e.specificity() != f.specificity() || !e.overlaps(f) {
		return false
	}
	for _, kind := range d.Kinds {
		if e.appliesToKind(kind) && f.appliesToKind(kind) {
			return true
		}
	}
	return false
}

// checkFloors records the ranks whose kinds can have floors of more than 100% in total at some database.
func (d Document) checkFloors(p *Problems) {
	databases := []model.DatabaseID{""}
	seen := map[model.DatabaseID]bool{"": true}
	for _, e := range d.Exceptions {
		if !seen[e.Database] && (e.Setting == SettingFloor || e.Setting == SettingRank) {
			seen[e.Database] = true
			databases = append(databases, e.Database)
		}
	}
	for _, database := range databases {
		for rank := model.RankOne; rank <= model.RankThree; rank++ {
			sum := d.floorSum(database, rank)
			p.require(sum <= maxPercent, "kinds", sum, fmt.Sprintf(
				"floors of rank %d that add up to at most 100%s", rank, databaseSuffix(database)))
		}
	}
}

// floorSum returns the largest possible sum of the floors of kinds that can have the rank at the database.
func (d Document) floorSum(database model.DatabaseID, rank model.Rank) model.Percent {
	sum := model.Percent(0)
	for _, kind := range d.Kinds {
		largest := kind.Floor
		hasRank := kind.Rank == rank
		for _, e := range d.Exceptions {
			if !e.appliesToKind(kind) || !matches(e.Database, database) {
				continue
			}
			var changed EffectiveSettings
			rules[e.Setting].apply(e.Value, &changed)
			largest = max(largest, changed.Floor)
			hasRank = hasRank || changed.Rank == rank
		}
		if hasRank {
			sum += largest
		}
	}
	return sum
}

// databaseSuffix returns the part of a problem that names the database; empty for all databases.
func databaseSuffix(database model.DatabaseID) string {
	if database == "" {
		return ""
	}
	return " at database " + string(database)
}
