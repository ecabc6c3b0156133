package operator

import (
	"redwingspread/internal/config"
	"redwingspread/internal/ledger"
	"redwingspread/internal/rollout"
	"redwingspread/pkg/api/operatorapi"
)

// configurationMessage returns a configuration as a message; the built-in one has no author and no time.
func configurationMessage(header rollout.Header, document config.Document) (*operatorapi.Configuration, error) {
	message, err := ledger.DocumentMessage(document)
	if err != nil {
		return nil, err
	}
	response := &operatorapi.Configuration{Version: uint64(header.Version), Document: message}
	if header.Version > 0 {
		response.Author.SetTo(string(header.Author))
		response.Time.SetTo(header.Time)
	}
	return response, nil
}
