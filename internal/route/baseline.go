package route

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// Chooser is a way to choose instances: Choose, or a baseline that it is measured against.
type Chooser func(db *view.Database, want Request, now time.Time) Choice

// AllPrimary is the baseline that sends every read to the primary.
func AllPrimary(db *view.Database, want Request, _ time.Time) Choice {
	return choosePrimary(db, want)
}

// LagLimit returns the baseline that sends reads to any replica whose data is not older than the limit.
func LagLimit(limit model.Age) Chooser {
	return func(db *view.Database, want Request, now time.Time) Choice {
		if want.Access != model.Read || want.InTransaction {
			return choosePrimary(db, want)
		}
		want.MaxAge = &limit
		want.MinPoint = model.Point{}
		if replica := chooseReplica(db, want, now); replica.Instance != "" {
			return replica
		}
		return choosePrimary(db, want)
	}
}
