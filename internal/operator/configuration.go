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

// The times that the platform has to answer.
const (
	writeTimeout = 5 * time.Second
	readTimeout  = 5 * time.Second
)

// GetConfiguration returns the configuration in force on this host.
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

// PutConfiguration accepts a checked configuration when the expected version is still the newest.
func (s *Server) PutConfiguration(ctx context.Context, change *operatorapi.Change) (*operatorapi.Configuration, error) {
	// A change that has begun is settled even when the operator goes away.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	head, policy, err := s.commit(ctx, change)
	if err != nil {
		s.recordFailure(change, err)
		return nil, s.withCurrent(err)
	}
	event.ConfigurationAccepted(s.Log, change.Author, head.Version)
	countChange(metricAccepted)
	return configurationMessage(head, policy.Document)
}

// commit checks a change, commits it and puts it into force on this host.
func (s *Server) commit(ctx context.Context, change *operatorapi.Change) (head rollout.Header, policy *config.Policy, err error) {
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
	head, err = s.Ledger.Commit(ctx, model.Version(change.Expected), config.Author(change.Author), document)
	if err != nil {
		return rollout.Header{}, nil, err
	}
	policy, err = config.Compile(head.Version, document)
	if err != nil {
		return rollout.Header{}, nil, err
	}
	s.tracker.start(head.Version, s.Now())
	s.Apply(head.Version, text, policy)
	return head, policy, nil
}

// recordFailure logs and counts a change that was not accepted.
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

// conflictWithCurrent is a conflict together with the configuration that won.
type conflictWithCurrent struct {
	error
	current *operatorapi.Configuration
}

// Unwrap returns the conflict.
func (l conflictWithCurrent) Unwrap() error {
	return l.error
}

// withCurrent adds the newest configuration to a conflict, so that the loser sees what changed.
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

// load returns the configuration of a head; a zero head is the built-in one.
func (s *Server) load(ctx context.Context, head rollout.Header) (*operatorapi.Configuration, error) {
	if head.Version == 0 {
		return configurationMessage(head, config.Default())
	}
	entry, err := s.Ledger.Load(ctx, head)
	if err != nil {
		return nil, err
	}
	return configurationMessage(head, entry.Document)
}

// ListConfigurations returns the newest accepted configurations.
func (s *Server) ListConfigurations(ctx context.Context, params operatorapi.ListConfigurationsParams) (*operatorapi.History, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	heads, err := s.Ledger.History(ctx, params.Limit.Or(defaultHistoryLimit))
	if err != nil {
		return nil, err
	}
	history := &operatorapi.History{Versions: []operatorapi.Accepted{}}
	for _, head := range heads {
		history.Versions = append(history.Versions, ledger.HeaderMessage(head))
	}
	return history, nil
}

// defaultHistoryLimit is the number of versions that a history has unless the operator asks for another.
const defaultHistoryLimit = 20

// GetAccepted returns one accepted configuration.
func (s *Server) GetAccepted(ctx context.Context, params operatorapi.GetAcceptedParams) (*operatorapi.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entry, err := s.Ledger.Version(ctx, model.Version(params.Version))
	if err != nil {
		return nil, err
	}
	return ledger.EntryMessage(entry)
}
