package operator

import (
	"redwingspread/internal/config"
	"redwingspread/internal/ledger"
	"redwingspread/internal/rollout"
	"redwingspread/pkg/api/operatorapi"
)

// configurationMessage returns the message of an accepted configuration.
func configurationMessage(head rollout.Header, document config.Document) (*operatorapi.Configuration, error) {
	message, err := ledger.DocumentMessage(document)
	if err != nil {
		return nil, err
	}
	made := &operatorapi.Configuration{Version: uint64(head.Version), Document: message}
	if head.Version > 0 {
		made.Author.SetTo(string(head.Author))
		made.Time.SetTo(head.Time)
	}
	return made, nil
}
