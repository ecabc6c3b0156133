package runner

import (
	"context"

	"redwingspread/internal/event"
	"redwingspread/internal/fleet"
	"redwingspread/internal/ledger"
	"redwingspread/internal/model"
	"redwingspread/internal/rollout"
)

// fetchConfiguration fetches a configuration from the platform or from a peer, and compiles it.
func (r *Runner) fetchConfiguration(ctx context.Context, action fleet.FetchConfiguration) fleet.Event {
	fetcher := ledger.Fetcher{
		Ledger: &ledger.Ledger{Store: r.Store},
		FetchFromPeer: func(ctx context.Context, _ model.HostID) (model.Version, string, error) {
			return r.PeerConfiguration(ctx, action.Host)
		},
	}
	return fleet.ConfigurationFetched(fetcher.Do(ctx, action.Fetch))
}

// reportConfiguration logs the outcome of a configuration fetch or rollout step.
func (r *Runner) reportConfiguration(outcome rollout.Effects) {
	if outcome.Policy != nil {
		event.ConfigurationInForce(r.Logger, outcome.Policy.Version, outcome.Source)
	}
	if outcome.FetchErr != nil {
		event.ConfigurationFetchFailed(r.Logger, outcome.FetchErr)
	}
	if outcome.Stale != nil {
		event.ConfigurationOlder(r.Logger, outcome.Stale.Stored, outcome.Stale.InForce)
	}
}
