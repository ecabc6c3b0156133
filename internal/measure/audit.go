package measure

import (
	"context"
	"fmt"
	"strconv"

	"redwingspread/internal/model"
	"redwingspread/pkg/client"
)

// auditPayments compares the payments that every database holds with those that were acknowledged.
func (b *Benchmark) auditPayments(ctx context.Context) error {
	var doubled, lost int
	for database, payments := range b.attempts {
		held, err := b.storedPayments(ctx, database)
		if err != nil {
			return err
		}
		acked, unknown := countPayments(payments)
		fmt.Fprintf(b.Progress, "%s holds %d payments: %d acknowledged, %d unknown\n", database, held, acked, unknown)
		lost += max(0, acked-held)
		doubled += max(0, held-acked-unknown)
	}
	b.report.Set("doubled", float64(doubled))
	b.report.Set("lost", float64(lost))
	return nil
}

// storedPayments returns the number of payments that a database holds.
func (b *Benchmark) storedPayments(ctx context.Context, database model.DatabaseID) (int, error) {
	answer, err := b.session(0).Run(ctx, client.Statement{
		Database: database, Kind: "waitlist", Operation: "seat", Read: true,
		Arguments: map[string]string{"section": paidSection, "resident": "ada"},
	})
	if err != nil {
		return 0, err
	}
	if len(answer.Rows) != 1 {
		return 0, fmt.Errorf("database %s shows %d seats, not 1", database, len(answer.Rows))
	}
	return strconv.Atoi(answer.Rows[0]["payments"])
}

// countPayments returns how many payments were acknowledged and of how many nothing is known.
func countPayments(payments []payment) (acked, unknown int) {
	for _, made := range payments {
		if made.acknowledged {
			acked++
		}
		if made.unknown {
			unknown++
		}
	}
	return acked, unknown
}
