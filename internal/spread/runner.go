package spread

import (
	"context"
	"fmt"
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
)

// fetchTimeout is the time that one fetch may take.
const fetchTimeout = 2 * time.Second

// Runner runs the machine's actions.
type Runner struct {
	// Ledger reads the accepted configurations from the platform.
	Ledger *Ledger
	// Peer asks another host for the newest configuration that it knows.
	Peer func(ctx context.Context, host model.HostID) (version model.Version, document string, err error)
}

// Do fetches and checks one configuration.
func (r *Runner) Do(ctx context.Context, action Action) Fetched {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	policy, err := r.fetch(ctx, action)
	return Fetched{Action: action, Policy: policy, Err: err}
}

// fetch reads the document from the store or from a peer and compiles it.
func (r *Runner) fetch(ctx context.Context, action Action) (policy *config.Policy, err error) {
	defer annotate(&err, "fetch configuration from "+action.Source())
	if action.Head == nil {
		version, text, err := r.Peer(ctx, action.Peer)
		if err != nil {
			return nil, err
		}
		return config.Parse(version, text)
	}
	entry, err := r.Ledger.Load(ctx, *action.Head)
	if err != nil {
		return nil, err
	}
	return config.Parse(action.Head.Version, entry.Text)
}

// Source names where the action fetches from.
func (a Action) Source() string {
	if a.Head != nil {
		return fmt.Sprintf("object %s", a.Head.Object)
	}
	return fmt.Sprintf("host %s", a.Peer)
}
