package measure

import (
	"context"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/standin/fault"
)

// outageDuration is the length of the simulated outage of the platform.
const outageDuration = 10 * time.Second

// measurePlatformOutage pays while the platform is down and counts the payments that were not acknowledged.
func (b *Benchmark) measurePlatformOutage(ctx context.Context) error {
	database := b.Deployment.Plan.Databases[0]
	if _, err := b.registerResident(ctx, database); err != nil {
		return err
	}
	before := len(b.payments[database])
	b.Deployment.Platform.Faults.Set(fault.Faults{Outage: true})
	paying, stop := context.WithTimeout(ctx, outageDuration)
	defer stop()
	b.payContinuously(paying, database)
	b.Deployment.Platform.Faults.Set(fault.Faults{})
	unacknowledged := 0
	for _, attempt := range b.payments[database][before:] {
		if !attempt.acknowledged {
			unacknowledged++
		}
	}
	b.report.Set("store_outage_refused", float64(unacknowledged))
	return clock.Pause(ctx, recoveryDuration)
}
