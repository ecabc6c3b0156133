package measure

import (
	"context"
	"fmt"
	"strconv"

	"redwingspread/internal/model"
	"redwingspread/pkg/client"
)

// auditPayments compares the number of payments that each database holds with the numbers of acknowledged payments and of those
// with an unknown outcome. It reports how many are missing, and how many more are stored than the two together.
func (b *Benchmark) auditPayments(ctx context.Context) error {
	var duplicated, missing int
	for database, payments := range b.payments {
		stored, err := b.storedPayments(ctx, database)
		if err != nil {
			return err
		}
		acknowledged, unknown := countPayments(payments)
		fmt.Fprintf(b.Progress, "%s holds %d payments; callers had %d acknowledged and %d of unknown outcome\n", database, stored, acknowledged, unknown)
		missing += max(0, acknowledged-stored)
		duplicated += max(0, stored-acknowledged-unknown)
	}
	b.report.Set("doubled", float64(duplicated))
	b.report.Set("lost", float64(missing))
	return nil
}

// storedPayments returns the number of payments stored in a database.
func (b *Benchmark) storedPayments(ctx context.Context, database model.DatabaseID) (int, error) {
	result, err := b.session(0).Run(ctx, client.Statement{
		Database: database, Kind: "waitlist", Operation: "seat", Read: true,
		Arguments: map[string]string{"section": paidSection, "resident": "ada"},
	})
	if err != nil {
		return 0, err
	}
	if len(result.Rows) != 1 {
		return 0, fmt.Errorf("audit: reading the paid seat in database %s returned %d rows, want 1", database, len(result.Rows))
	}
	return strconv.Atoi(result.Rows[0]["payments"])
}

// countPayments returns how many payments were acknowledged and how many have an unknown outcome.
func countPayments(payments []payment) (acknowledged, unknown int) {
	for _, attempt := range payments {
		if attempt.acknowledged {
			acknowledged++
		}
		if attempt.unknown {
			unknown++
		}
	}
	return acknowledged, unknown
}
