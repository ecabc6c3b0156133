package ledger

import (
	"context"
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
	"redwingspread/internal/rollout"
)

// fetchTimeout is the time limit of one fetch.
const fetchTimeout = 2 * time.Second

// Fetcher runs the fetches that the rollout state machine asks for.
type Fetcher struct {
	// Ledger reads the accepted configurations from the platform.
	Ledger *Ledger
	// FetchFromPeer fetches the newest configuration that another host knows.
	FetchFromPeer func(ctx context.Context, host model.HostID) (version model.Version, document string, err error)
}

// Do fetches and compiles one configuration.
func (f *Fetcher) Do(ctx context.Context, action rollout.Action) rollout.Fetched {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	policy, err := f.fetch(ctx, action)
	return rollout.Fetched{Action: action, Policy: policy, Err: err}
}

// fetch reads the document from the object that the header names, or from a peer if there is no header, and compiles it.
func (f *Fetcher) fetch(ctx context.Context, action rollout.Action) (policy *config.Policy, err error) {
	defer annotate(&err, "fetch configuration from "+action.Source())
	if action.Header == nil {
		version, text, err := f.FetchFromPeer(ctx, action.Peer)
		if err != nil {
			return nil, err
		}
		return config.Parse(version, text)
	}
	entry, err := f.Ledger.Load(ctx, *action.Header)
	if err != nil {
		return nil, err
	}
	return config.Compile(action.Header.Version, entry.Document)
}
