package front

import (
	"testing"

	"redwingspread/internal/model"
)

// modelRow is a row of the modelled store.
type modelRow struct {
	token   model.Token
	nonce   int8 // zero where there is no row
	version int8
}

// modelStore holds the promotion of one database, and the rows that guard claims by era.
type modelStore struct {
	era, version int8
	lead         modelRow
	claims       [4]modelRow
}

// modelClaim is the claim of a host: what it has read, and what it writes.
type modelClaim struct {
	phase       int8 // 0 none, 1 read, 2 sent, 3 valid
	era         int8
	lead, guard int8 // versions read
	token       model.Token
	nonce       int8
}

// modelState is a state of the whole model. A write that was sent may take effect at any time, or never.
type modelState struct {
	store, copied              modelStore
	copies, restores, restarts int8
	claims                     [2]modelClaim
	sent                       [2]modelClaim
	known                      [2]model.Token
	attempts                   [2]int8
	orders                     [4]struct {
		token  model.Token
		holder int8
	}
	count int8
}

// claimRules are the rules by which a host claims a promotion.
type claimRules struct {
	known, era, guarded bool // the next token is higher than the known one, and than those of earlier eras; a row for each era guards it
}

// apply carries out a write if the rows have the expected versions.
func (r claimRules) apply(s modelState, w modelClaim) modelState {
	guard := &s.store.claims[w.era]
	if w.lead != s.store.lead.version || (r.guarded && w.guard != guard.version) {
		return s
	}
	s.store.version++
	s.store.lead = modelRow{w.token, w.nonce, s.store.version}
	if r.guarded {
		*guard = s.store.lead
	}
	return s
}

// row returns the newest promotion that a host reads.
func (r claimRules) row(s modelStore) modelRow {
	if guard := s.claims[s.era]; r.guarded && guard.token >= s.lead.token {
		return guard
	}
	return s.lead
}

// steps returns the states that can follow.
func (r claimRules) steps(s modelState) (next []modelState) {
	for h := range s.claims {
		n := s
		c := &n.claims[h]
		switch row := r.row(s.store); {
		case c.phase == 0 && s.attempts[h] < 2:
			n.attempts[h]++
			newest, era := row.token, model.Era(0)
			if r.known {
				newest = max(newest, s.known[h])
			}
			if r.era {
				era = model.Era(s.store.era)
			}
			*c = modelClaim{1, s.store.era, s.store.lead.version, s.store.claims[s.store.era].version, newest.Next(era), int8(2*h) + n.attempts[h]}
			n.known[h] = newest
			next = append(next, n)
		case c.phase == 1:
			c.phase = 2
			n.sent[h] = *c
			next = append(next, n)
		case c.phase == 2 && row.nonce == c.nonce && (!r.era || s.store.era == c.era):
			c.phase = 3
			next = append(next, n)
		case c.phase == 2:
			*c = modelClaim{}
			next = append(next, n)
		case c.phase == 3:
			n.known[h] = max(s.known[h], c.token)
			n.orders[n.count].token, n.orders[n.count].holder = c.token, int8(h)
			n.count++
			*c = modelClaim{}
			next = append(next, n)
		}
		if s.sent[h].phase != 0 {
			n := r.apply(s, s.sent[h])
			n.sent[h] = modelClaim{}
			next = append(next, n)
		}
		if s.restarts == 0 {
			n := s
			n.restarts, n.claims[h], n.known[h] = 1, modelClaim{}, 0
			next = append(next, n)
		}
	}
	if s.copies < 1 {
		n := s
		n.copies, n.copied = s.copies+1, s.store
		next = append(next, n)
	}
	if s.restores < 2 && s.copies > 0 {
		n := s
		n.store = s.copied
		n.store.era, n.restores = s.store.era+1, s.restores+1
		next = append(next, n)
	}
	return next
}

// broken reports whether two holders have ordered with one token.
func (s modelState) broken() bool {
	for i, a := range s.orders[:s.count] {
		for _, b := range s.orders[:i] {
			if a.token == b.token && a.holder != b.holder {
				return true
			}
		}
	}
	return false
}

// TestClaimModel searches all orders of the claims of two hosts, with writes that are late or lost, a restart, and a store that comes back
// from older copies twice, for two holders with one token. Each rule of a claim is needed: without it there is such an order.
func TestClaimModel(t *testing.T) {
	tests := map[string]struct {
		rules claimRules
		want  bool // two holders may have one token
	}{
		"the row alone":                    {rules: claimRules{}, want: true},
		"the newest known token":           {rules: claimRules{known: true}, want: true},
		"the era in the token":             {rules: claimRules{known: true, era: true}, want: true},
		"the era in the token and a guard": {rules: claimRules{known: true, era: true, guarded: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			start := modelState{store: modelStore{era: 1}}
			seen := map[modelState]bool{start: true}
			got := false
			for queue := []modelState{start}; len(queue) > 0 && !got; queue = queue[1:] {
				for _, next := range test.rules.steps(queue[0]) {
					if !seen[next] {
						seen[next] = true
						queue = append(queue, next)
						got = got || next.broken()
					}
				}
			}
			if got != test.want {
				t.Errorf("got two holders with one token: %v, want %v", got, test.want)
			}
			t.Logf("%d states", len(seen))
		})
	}
}
