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

// Peers asks other hosts for the newest configuration that they know.
type Peers interface {
	Configuration(ctx context.Context, host model.HostID) (version model.Version, document string, err error)
}

// Runner runs the machine's actions.
type Runner struct {
	Ledger *Ledger
	Peers  Peers
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
		version, text, err := r.Peers.Configuration(ctx, action.Peer)
		if err != nil {
			return nil, err
		}
		return compile(version, text)
	}
	entry, err := r.Ledger.Load(ctx, *action.Head)
	if err != nil {
		return nil, err
	}
	return compile(action.Head.Version, entry.Text)
}

// Source names where the action fetches from.
func (a Action) Source() string {
	if a.Head != nil {
		return fmt.Sprintf("object %s", a.Head.Object)
	}
	return fmt.Sprintf("host %s", a.Peer)
}

// compile decodes and compiles a document's text.
func compile(version model.Version, text string) (*config.Policy, error) {
	document, err := config.Decode(text)
	if err != nil {
		return nil, err
	}
	return config.Compile(version, document)
}
