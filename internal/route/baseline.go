package route

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// Chooser is a routing policy: Choose, or a baseline to compare it with.
type Chooser func(db *view.Database, request Request, now time.Time) Choice

// AllPrimary is the baseline policy that sends every read to the primary.
func AllPrimary(db *view.Database, request Request, _ time.Time) Choice {
	return choosePrimary(db, request)
}

// LagLimit returns the baseline policy that sends reads to any replica whose data is not older than the limit.
func LagLimit(limit model.Age) Chooser {
	return func(db *view.Database, request Request, now time.Time) Choice {
		if request.Access != model.Read || request.InTransaction {
			return choosePrimary(db, request)
		}
		request.MaxAge = &limit
		request.MinPoint = model.Point{}
		if replica := chooseReplica(db, request, now); replica.Instance != "" {
			return replica
		}
		return choosePrimary(db, request)
	}
}
