package scheduler

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"redwingspread/internal/admit"
	"redwingspread/internal/model"
)

// TestTenantsTakeTurns guards against a scheduler that doesn't pass the tenant or the weights on to its policy.
func TestTenantsTakeTurns(t *testing.T) {
	tenants := map[model.TenantID]model.Tenant{"large": {ID: "large", Limited: true, Rate: 30}, "small": {ID: "small", Limited: true, Rate: 10}}
	tests := map[string]struct {
		weights *model.TenantWeights
		want    float64 // share of the large tenant in the statements served
	}{
		"by weight":       {weights: model.NewTenantWeights(tenants), want: 0.75},
		"without weights": {want: 0.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const length = 4 * time.Second
				s := newTestScheduler(t, 1, 1, func(s *Scheduler[int]) { s.QueueLimit = 1000; s.SetWeights(test.weights) })
				ctx, cancel := context.WithTimeout(context.Background(), length)
				defer cancel()
				var mutex sync.Mutex
				served := make(map[model.TenantID]int)
				var group sync.WaitGroup
				for tenant := range tenants {
					for range 5 {
						group.Go(func() {
							for ctx.Err() == nil {
								permit, err := s.Acquire(ctx, Request{
									Class: admit.Class{Rank: model.RankOne, Kind: "k"}, Tenant: tenant, Deadline: time.Now().Add(time.Minute),
								})
								if err != nil {
									return
								}
								time.Sleep(10 * time.Millisecond)
								mutex.Lock()
								served[tenant]++
								mutex.Unlock()
								s.FinishStatement(permit, true, true)
							}
						})
					}
				}
				group.Wait()
				total := served["large"] + served["small"]
				if got := float64(served["large"]) / float64(max(total, 1)); total < 100 || got < test.want-0.03 || got > test.want+0.03 {
					t.Errorf("got a share of %.2f of %d statements, want %.2f", got, total, test.want)
				}
			})
		})
	}
}
