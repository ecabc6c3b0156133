package operator

import (
	"redwingspread/internal/config"
	"redwingspread/internal/ledger"
	"redwingspread/internal/rollout"
	"redwingspread/pkg/api/operatorapi"
)

// configuration returns the message of an accepted configuration.
func configuration(head rollout.Header, document config.Document) (*operatorapi.Configuration, error) {
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
