package operator

import (
	"fmt"

	"redwingspread/internal/config"
	"redwingspread/internal/spread"
	"redwingspread/pkg/api/operatorapi"
)

// Document translates a message into a document; both have the JSON form of schema/operator.yaml.
func Document(message operatorapi.Document) (document config.Document, err error) {
	text, err := message.MarshalJSON()
	if err != nil {
		return config.Document{}, fmt.Errorf("translate document: %w", err)
	}
	return config.Decode(string(text))
}

// Message translates a document into a message.
func Message(document config.Document) (message operatorapi.Document, err error) {
	text, err := config.Encode(document)
	if err != nil {
		return operatorapi.Document{}, err
	}
	if err := message.UnmarshalJSON([]byte(text)); err != nil {
		return operatorapi.Document{}, fmt.Errorf("translate document: %w", err)
	}
	return message, nil
}

// configuration returns the message of an accepted configuration.
func configuration(head spread.Head, document config.Document) (*operatorapi.Configuration, error) {
	message, err := Message(document)
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
