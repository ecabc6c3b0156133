package admit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"redwingspread/internal/model"
)

// The load of a replay. The sizes of tenants fall as their number to the power -1.2.
const (
	replayTenants  = 82
	replayService  = 20 * time.Millisecond // mean slot time, between half and one and a half times that
	replayCapacity = float64(replaySlots) * float64(time.Second) / float64(replayService)
	replayUsual    = 0.7 * replayCapacity   // statements a second of all tenants
	replayAllowed  = 1.6                    // allowed rate, as a multiple of a tenant's usual one
	replayGoal     = 500 * time.Millisecond // a statement that can't be answered within it is refused
	replayLength   = 30 * time.Second
	replaySessions = 10 // of each tenant, times the factor of the one that sends more
)

// tenantReplay is a load of one kind of work on the slots of one instance.
type tenantReplay struct {
	factor  float64 // of the rate of the tenant that sends more
	sender  int     // index of that tenant
	tenants bool    // the policy knows the tenants
	seed    uint64
}

// served is the share of a group's statements that was answered in time.
type served struct{ offered, inTime int }

func (s served) share() float64 { return float64(s.inTime) / float64(max(s.offered, 1)) }

// run plays the load in virtual time and returns the service of the tenant that sends more, of the others together, and of the least
// served other tenant among those with at least a hundred statements.
func (r tenantReplay) run() (sender, others served, worst float64) {
	sum := 0.0
	for i := range replayTenants {
		sum += math.Pow(float64(i+1), -1.2)
	}
	rates := make(map[model.TenantID]model.Rate)
	ids := make([]model.TenantID, replayTenants)
	next := make([]time.Time, replayTenants)
	arrivals := make([]float64, replayTenants)
	random := rand.New(rand.NewPCG(r.seed, 5))
	pause := func(i int) time.Duration {
		return time.Duration(random.ExpFloat64() / arrivals[i] * float64(time.Second))
	}
	for i := range ids {
		ids[i] = model.TenantID(fmt.Sprint("tenant-", i))
		arrivals[i] = replayUsual * math.Pow(float64(i+1), -1.2) / sum
		rates[ids[i]] = model.Rate(replayAllowed * arrivals[i])
		if i == r.sender {
			arrivals[i] *= r.factor
		}
		next[i] = startTime.Add(pause(i))
	}
	policy := NewFairShare[int]()
	if r.tenants {
		policy.SetWeights(weightsOf(rates))
	}
	q := newQueue(policy, [model.RankCount]model.Percent{}, 256)
	results := make([]served, replayTenants)
	type run struct {
		ticket   *Ticket[int]
		end      time.Time
		slotTime time.Duration
	}
	var running []run
	for {
		first, ends := 0, -1
		for i := range next {
			if next[i].Before(next[first]) {
				first = i
			}
		}
		now := next[first]
		for i := range running {
			if running[i].end.Before(now) {
				ends, now = i, running[i].end
			}
		}
		if now.Sub(startTime) > replayLength {
			break
		}
		if ends >= 0 {
			done := running[ends]
			running = append(running[:ends], running[ends+1:]...)
			q.Finish(now, done.ticket, done.slotTime)
			if !done.end.After(done.ticket.Deadline) {
				results[done.ticket.Value].inTime++
			}
		} else {
			sessions := replaySessions
			if first == r.sender {
				sessions = int(replaySessions * r.factor)
			}
			class := Class{Rank: 1, Kind: "pay", Session: model.SessionID(fmt.Sprint(first, "-", random.IntN(sessions)))}
			if r.tenants {
				class.Tenant = ids[first]
			}
			results[first].offered++
			q.Offer(now, &Ticket[int]{Class: class, Deadline: now.Add(replayGoal), Value: first})
			next[first] = now.Add(pause(first))
		}
		for len(running) < replaySlots {
			ticket, verdict := q.Next(now, EligibleAny)
			if ticket == nil {
				break
			}
			if verdict == Run {
				slotTime := replayService/2 + time.Duration(random.Int64N(int64(replayService)))
				running = append(running, run{ticket: ticket, end: now.Add(slotTime), slotTime: slotTime})
			}
		}
	}
	worst = 1
	for i, result := range results {
		if i == r.sender {
			sender = result
			continue
		}
		others.offered += result.offered
		others.inTime += result.inTime
		if result.offered >= 100 {
			worst = min(worst, result.share())
		}
	}
	return sender, others, worst
}

// TestOneTenantSendsMore guards against tenants within their usual rate that lose service to one that sends 7.5 times its own, and
// against a tenant beyond its rate that gets nothing.
func TestOneTenantSendsMore(t *testing.T) {
	tests := map[string]struct {
		sender int
		worse  float64 // the others' share answered in time is at most this where the policy knows no tenants
	}{
		"the largest tenant": {sender: 0, worse: 0.9},
		"the second":         {sender: 1, worse: 0.95},
		"the tenth":          {sender: 9, worse: 1}, // the load stays below capacity
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				_, usual, _ := tenantReplay{factor: 1, sender: test.sender, tenants: true, seed: seed}.run()
				_, without, worstWithout := tenantReplay{factor: 7.5, sender: test.sender, seed: seed}.run()
				sender, with, worst := tenantReplay{factor: 7.5, sender: test.sender, tenants: true, seed: seed}.run()
				t.Logf("seed %d: others in time at the usual load %.3f; without tenants %.3f, worst %.3f; with tenants %.3f, worst %.3f; the sender %.3f",
					seed, usual.share(), without.share(), worstWithout, with.share(), worst, sender.share())
				if got, want := with.share(), usual.share()-0.01; got < want {
					t.Errorf("seed %d: got %.3f of the others' statements in time, want at least %.3f", seed, got, want)
				}
				if got, want := worst, 0.95; got < want {
					t.Errorf("seed %d: got %.3f of the least served tenant's statements in time, want at least %.2f", seed, got, want)
				}
				if got := without.share(); got > test.worse {
					t.Errorf("seed %d: got %.3f of the others' statements in time without tenants, want at most %.2f, else the test shows nothing", seed, got, test.worse)
				}
				if got := sender.share(); got == 0 {
					t.Errorf("seed %d: got no statement of the tenant that sends more in time, want some", seed)
				}
			}
		})
	}
}
