package measure

import (
	"context"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/standin/fault"
)

// outageTime is the length of the measured outage of the platform.
const outageTime = 10 * time.Second

// measureOutage pays while the platform is down and counts the payments that were not acknowledged.
func (b *Bench) measureOutage(ctx context.Context) error {
	database := b.Deployment.Plan.Databases[0]
	if _, err := b.enrol(ctx, database); err != nil {
		return err
	}
	before := len(b.payments[database])
	b.Deployment.Platform.Faults.Set(fault.Faults{Outage: true})
	paying, stop := context.WithTimeout(ctx, outageTime)
	defer stop()
	b.payOn(paying, database)
	b.Deployment.Platform.Faults.Set(fault.Faults{})
	refused := 0
	for _, made := range b.payments[database][before:] {
		if !made.acked {
			refused++
		}
	}
	b.report.Set("store_outage_refused", float64(refused))
	return clock.Pause(ctx, gapHeal)
}
