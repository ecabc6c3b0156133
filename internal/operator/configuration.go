package operator

import (
	"context"
	"errors"
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/event"
	"redwingspread/internal/ledger"
	"redwingspread/internal/model"
	"redwingspread/internal/rollout"
	"redwingspread/pkg/api/operatorapi"
)

// The timeouts of requests to the platform's store.
const (
	writeTimeout = 5 * time.Second
	readTimeout  = 5 * time.Second
)

// GetConfiguration returns the configuration that is in force on this host.
func (s *Server) GetConfiguration(context.Context) (*operatorapi.Configuration, error) {
	policy := s.View().Policy
	if !policy.Ready() {
		return nil, model.Refuse(model.CodeUnavailable, "no configuration is in force on this host yet")
	}
	document, err := ledger.DocumentMessage(policy.Document)
	if err != nil {
		return nil, err
	}
	return &operatorapi.Configuration{Version: uint64(policy.Version), Document: document}, nil
}

// PutConfiguration commits a valid configuration if the expected version is still the newest one.
func (s *Server) PutConfiguration(ctx context.Context, change *operatorapi.Change) (*operatorapi.Configuration, error) {
	// A change that has begun is completed even if the operator disconnects.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	header, policy, err := s.commit(ctx, change)
	if err != nil {
		s.recordFailure(change, err)
		return nil, s.withCurrent(err)
	}
	event.ConfigurationAccepted(s.Log, change.Author, header.Version)
	countChange(metricAccepted)
	return configurationMessage(header, policy.Document)
}

// commit checks a change, writes it to the ledger and applies it on this host.
func (s *Server) commit(ctx context.Context, change *operatorapi.Change) (header rollout.Header, policy *config.Policy, err error) {
	document, err := ledger.DocumentFromMessage(change.Document)
	if err != nil {
		return rollout.Header{}, nil, model.Refuse(model.CodeInvalid, "%v", err)
	}
	if err := document.Check(); err != nil {
		return rollout.Header{}, nil, err
	}
	text, err := config.Encode(document)
	if err != nil {
		return rollout.Header{}, nil, err
	}
	header, err = s.Ledger.Commit(ctx, model.Version(change.Expected), config.Author(change.Author), document)
	if err != nil {
		return rollout.Header{}, nil, err
	}
	policy, err = config.Compile(header.Version, document)
	if err != nil {
		return rollout.Header{}, nil, err
	}
	s.tracker.start(header.Version, s.Now())
	s.Apply(header.Version, text, policy)
	return header, policy, nil
}

// recordFailure logs and counts a change that was not accepted or has an unknown outcome.
func (s *Server) recordFailure(change *operatorapi.Change, err error) {
	var conflict *ledger.Conflict
	var refusal *model.Refusal
	switch {
	case errors.As(err, &conflict):
		event.ConfigurationConflict(s.Log, change.Author, conflict.Expected, conflict.Current.Version)
		countChange(metricConflicts)
	case errors.As(err, &refusal) && !refusal.NotRun:
		event.ConfigurationUnknown(s.Log, change.Author, model.Version(change.Expected), err)
		countChange(metricUnknown)
	default:
		event.ConfigurationRefused(s.Log, change.Author, err)
		countChange(metricRefused)
	}
}

// conflictWithCurrent is a version conflict with the configuration that is current.
type conflictWithCurrent struct {
	error
	current *operatorapi.Configuration
}

func (c conflictWithCurrent) Unwrap() error {
	return c.error
}

// withCurrent adds the current configuration to a conflict, so that the operator sees what changed.
func (s *Server) withCurrent(err error) error {
	var conflict *ledger.Conflict
	if !errors.As(err, &conflict) {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	current, loadErr := s.load(ctx, conflict.Current)
	if loadErr != nil {
		return err
	}
	return conflictWithCurrent{error: err, current: current}
}

// load returns the configuration that a header describes; the zero header stands for the built-in one.
func (s *Server) load(ctx context.Context, header rollout.Header) (*operatorapi.Configuration, error) {
	if header.Version == 0 {
		return configurationMessage(header, config.Default())
	}
	entry, err := s.Ledger.Load(ctx, header)
	if err != nil {
		return nil, err
	}
	return configurationMessage(header, entry.Document)
}

// ListConfigurations returns the newest accepted configurations.
func (s *Server) ListConfigurations(ctx context.Context, params operatorapi.ListConfigurationsParams) (*operatorapi.History, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	headers, err := s.Ledger.History(ctx, params.Limit.Or(defaultHistoryLimit))
	if err != nil {
		return nil, err
	}
	history := &operatorapi.History{Versions: []operatorapi.Accepted{}}
	for _, header := range headers {
		history.Versions = append(history.Versions, ledger.HeaderMessage(header))
	}
	return history, nil
}

// defaultHistoryLimit is the number of versions listed when the request sets no limit.
const defaultHistoryLimit = 20

// GetAccepted returns one accepted configuration by its version.
func (s *Server) GetAccepted(ctx context.Context, params operatorapi.GetAcceptedParams) (*operatorapi.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entry, err := s.Ledger.Version(ctx, model.Version(params.Version))
	if err != nil {
		return nil, err
	}
	return ledger.EntryMessage(entry)
}
