package allowance

import (
	"maps"
	"time"

	"redwingspread/internal/model"
)

// backlogLife is how long a host's number of waiting operations counts; hosts with waiting operations ask more often.
const backlogLife = 300 * time.Millisecond

// Answer answers another host's question for tokens that this host keeps.
func (b *Book[T]) Answer(now model.Instant, question Question) Answer {
	answer := Answer{From: b.self.ID, Sequence: question.Sequence}
	for _, ask := range question.Parts[:min(len(question.Parts), maxAsks)] {
		answer.Parts = append(answer.Parts, b.grant(now, question.From, ask.bounded()))
	}
	return answer
}

// grant grants tokens to a host. Hosts of an earlier release send Asks for no tokens, which are granted none.
func (b *Book[T]) grant(now model.Instant, from model.HostID, ask Ask) Grant {
	grant := Grant{Tenant: ask.Tenant, Rank: ask.Rank}
	t := b.tenants[ask.Tenant]
	if ask.Count == 0 || !b.configured {
		return grant
	}
	if t == nil { // the asking host has an older configuration
		if !b.lapsed(now) {
			grant.Granted = ask.Count
		}
		return grant
	}
	if t.limit.none() {
		grant.Next = maxNext
		return grant
	}
	if len(t.own) == 0 || !b.grants(now, t) {
		return grant
	}
	grant.Granted = t.takeOwn(now, ask.Rank, ask.Count)
	b.recordBacklog(now, t, from, ask.Rank, max(ask.Waiting-grant.Granted, 0))
	if next, ok := t.ownNext(ask.Rank); ok && grant.Granted < ask.Count && next > now {
		earliest, _ := t.ownEarliest(now, ask.Rank)
		grant.Next = min(earliest.Sub(now), maxNext)
	}
	return grant
}

// recordBacklog records how many operations of a rank wait at a live host.
func (b *Book[T]) recordBacklog(now model.Instant, t *tenant[T], from model.HostID, rank model.Rank, waiting int) {
	if !b.hears(from) {
		return
	}
	if t.backlog == nil {
		t.backlog = make(map[model.HostID]*hostsBacklog)
	}
	host := t.backlog[from]
	if host == nil || now.Sub(host.at) > backlogLife {
		maps.DeleteFunc(t.backlog, func(_ model.HostID, old *hostsBacklog) bool { return now.Sub(old.at) > backlogLife })
		host = &hostsBacklog{}
		t.backlog[from] = host
	}
	host.waiting[rank.Index()], host.at = waiting, now
}
