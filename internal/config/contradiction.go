package config

import (
	"fmt"

	"redwingspread/internal/model"
)

// checkContradictions records each pair of exceptions of which neither is the more specific.
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

// contradict reports whether two exceptions give some work different values of a setting and are equally specific.
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

// checkFloors records ranks whose kinds' floors may add up to more than everything at some database.
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

// floorSum adds the largest floors that the kinds which may have the rank may get at the database.
func (d Document) floorSum(database model.DatabaseID, rank model.Rank) model.Percent {
	sum := model.Percent(0)
	for _, kind := range d.Kinds {
		most := kind.Floor
		reaches := kind.Rank == rank
		for _, e := range d.Exceptions {
			if !e.appliesToKind(kind) || !matches(e.Database, database) {
				continue
			}
			var changed EffectiveSettings
			rules[e.Setting].apply(e.Value, &changed)
			most = max(most, changed.Floor)
			reaches = reaches || changed.Rank == rank
		}
		if reaches {
			sum += most
		}
	}
	return sum
}

// databaseSuffix names a database in a problem, or nothing for all.
func databaseSuffix(database model.DatabaseID) string {
	if database == "" {
		return ""
	}
	return " at database " + string(database)
}
