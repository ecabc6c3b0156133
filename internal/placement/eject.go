package placement

import (
	"redwingspread/internal/model"
	"redwingspread/internal/outlier"
)

// Restrict sets the failure probability of the candidates and marks those that don't get a read because they are ejected or have just
// returned. It returns the index of an ejected candidate that the read has to probe, or None.
//
// At most half of the candidates that could serve the read are left out, and none if the others fail about as much. At most 64
// candidates are considered.
func Restrict(candidates []Candidate, required Requirement, group *outlier.Group[model.InstanceID], mayProbe bool) (probe int) {
	serving, best, outliers := 0, outlier.Probability(1), false
	for i := range candidates {
		c := &candidates[i]
		health := group.Health(required.Now, c.Instance)
		c.Failure = health.Probability
		if RuledOut(c, required) != Qualifies {
			continue
		}
		serving++
		if health.Share == 1 {
			best = min(best, health.Probability)
		} else {
			outliers = true
		}
	}
	if !outliers {
		return None
	}
	probe = None
	considered := uint64(0) // bits of the candidates
	for range serving / 2 {
		worst := worstOutlier(candidates, required, group, best, considered)
		if worst == None {
			break
		}
		considered |= 1 << worst
		admission := group.Admit(required.Now, candidates[worst].Instance, mayProbe && probe == None)
		candidates[worst].Ejected = admission != outlier.Admitted
		if admission == outlier.Probe {
			probe = worst
		}
	}
	return probe
}

// worstOutlier returns the index of the candidate that failed most, among the outliers that have not been considered, or None.
func worstOutlier(candidates []Candidate, required Requirement, group *outlier.Group[model.InstanceID], best outlier.Probability, considered uint64) int {
	worst := None
	var level outlier.Probability
	for i := range candidates {
		c := &candidates[i]
		if considered&(1<<i) != 0 || RuledOut(c, required) != Qualifies {
			continue
		}
		health := group.Health(required.Now, c.Instance)
		if health.Outlying(best) && (worst == None || health.Level > level) {
			worst, level = i, health.Level
		}
	}
	return worst
}
