package allowance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"redwingspread/internal/model"
)

const (
	voteInterval  = 500 * time.Millisecond // between questions for votes on parts that are not confirmed
	renewInterval = 3 * time.Second        // between questions for votes on parts that are
	voteLife      = 7 * time.Second        // from the sending of the question
)

// vote is another host's view of the parts that this host keeps.
type vote struct {
	parts  int
	sentAt model.Instant // of the question
}

// listProvisional lists the tenants of which this host keeps provisional parts. A host that doesn't hear some others can't know alone
// whether the other hosts take them for dead as well: two hosts that don't hear each other may both hear more than half of the hosts.
func (b *Book[T]) listProvisional() {
	b.provisional = nil
	for _, t := range b.tenants {
		if slices.ContainsFunc(t.own, func(part bucket) bool { return part.provisional }) {
			b.provisional = append(b.provisional, t)
		}
	}
	slices.SortFunc(b.provisional, func(x, y *tenant[T]) int { return cmp.Compare(x.id, y.id) })
}

// askVotes appends the questions for votes on provisional parts.
func (b *Book[T]) askVotes(now model.Instant, questions []Outgoing) []Outgoing {
	if len(b.provisional) == 0 || now < b.votesAt {
		return questions
	}
	b.votesAt = now.Add(renewInterval)
	var asks []Ask
	for _, t := range b.provisional {
		asks = append(asks, Ask{Tenant: t.id, Rank: model.RankOne})
		if slices.ContainsFunc(t.own, func(part bucket) bool { return !part.usable(now) }) {
			b.votesAt = now.Add(voteInterval)
		}
	}
	for _, host := range b.live {
		if host.ID != b.self.ID {
			questions = b.compose(now, outgoingAsks{to: host.ID, asks: asks}, questions)
		}
	}
	return questions
}

// acceptVote counts a vote and confirms the parts for which more than half of the hosts voted.
func (b *Book[T]) acceptVote(now model.Instant, q *question, t *tenant[T], answer Answer) {
	i := slices.IndexFunc(answer.Parts, func(g Grant) bool { return g.Tenant == t.id })
	if i < 0 {
		return
	}
	if t.votes == nil {
		t.votes = make(map[model.HostID]vote)
	}
	maps.DeleteFunc(t.votes, func(_ model.HostID, v vote) bool { return now.Sub(v.sentAt) > voteLife })
	t.votes[q.to] = vote{parts: answer.Parts[i].Granted, sentAt: q.sentAt}
	for i := range t.own {
		if until, ok := b.elected(now, t, i+1); ok {
			t.own[i].confirm(now, until)
		}
	}
}

// elected reports whether more than half of the hosts hold that this host keeps a number of parts, and until when that counts.
func (b *Book[T]) elected(now model.Instant, t *tenant[T], parts int) (until model.Instant, ok bool) {
	var votes []model.Instant
	for _, host := range b.live {
		if v, found := t.votes[host.ID]; found && v.parts >= parts {
			votes = append(votes, v.sentAt.Add(voteLife))
		}
	}
	needed := b.known / 2 // beside this host's own vote
	if needed == 0 || len(votes) < needed {
		return 0, false
	}
	slices.Sort(votes)
	until = votes[len(votes)-needed]
	return until, now < until
}
