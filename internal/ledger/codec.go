package ledger

import (
	"errors"
	"fmt"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
	"redwingspread/internal/rollout"
	"redwingspread/pkg/api/operatorapi"
)

// RowKey is the row that names the newest configuration.
const RowKey model.RowKey = "configuration"

// objectPrefix begins the name of every object that holds a configuration.
const objectPrefix = "config/"

// maxRowHeaders is the number of heads that the row keeps, so that a lost answer can be settled after later changes.
const maxRowHeaders = 16

// Entry is one accepted configuration as its object holds it.
type Entry struct {
	Header   rollout.Header
	Previous *rollout.Header
	Document config.Document
}

// ParseRow returns the newest head of the row's value.
func ParseRow(value string) (head rollout.Header, err error) {
	heads, err := parseHeaders(value)
	if err != nil {
		return rollout.Header{}, err
	}
	return heads[0], nil
}

// parseHeaders returns the heads of a row's value, newest first.
func parseHeaders(value string) (heads []rollout.Header, err error) {
	defer annotate(&err, fmt.Sprintf("row %s", RowKey))
	var message operatorapi.History
	if err := message.UnmarshalJSON([]byte(value)); err != nil {
		return nil, err
	}
	if len(message.Versions) == 0 {
		return nil, errors.New("no head")
	}
	for _, accepted := range message.Versions {
		heads = append(heads, headerFromMessage(accepted))
	}
	return heads, nil
}

// encodeRow returns the row's value with a new head before the earlier ones.
func encodeRow(head rollout.Header, earlier []rollout.Header) (value string, err error) {
	heads := append([]rollout.Header{head}, earlier...)
	var message operatorapi.History
	for _, kept := range heads[:min(len(heads), maxRowHeaders)] {
		message.Versions = append(message.Versions, HeaderMessage(kept))
	}
	encoded, err := message.MarshalJSON()
	return string(encoded), err
}

// encodeEntry returns the content of an object.
func encodeEntry(entry Entry) (text string, err error) {
	message, err := EntryMessage(entry)
	if err != nil {
		return "", err
	}
	encoded, err := message.MarshalJSON()
	return string(encoded), err
}

// parseEntry returns the content of an object and refuses one of another head.
func parseEntry(text string, want rollout.Header) (entry Entry, err error) {
	defer annotate(&err, fmt.Sprintf("object %s", want.Object))
	var message operatorapi.Entry
	if err := message.UnmarshalJSON([]byte(text)); err != nil {
		return Entry{}, err
	}
	entry.Header = headerFromMessage(message.Accepted)
	if entry.Header.Nonce != want.Nonce || entry.Header.Version != want.Version {
		return Entry{}, fmt.Errorf("holds version %d of another attempt", entry.Header.Version)
	}
	if message.Previous.Set {
		previous := headerFromMessage(message.Previous.Value)
		entry.Previous = &previous
	}
	entry.Document, err = DocumentFromMessage(message.Document)
	return entry, err
}

// EntryMessage returns the message of an entry.
func EntryMessage(entry Entry) (message *operatorapi.Entry, err error) {
	document, err := DocumentMessage(entry.Document)
	if err != nil {
		return nil, err
	}
	message = &operatorapi.Entry{Accepted: HeaderMessage(entry.Header), Document: document}
	if entry.Previous != nil {
		message.Previous.SetTo(HeaderMessage(*entry.Previous))
	}
	return message, nil
}

// HeaderMessage returns the message of a head.
func HeaderMessage(head rollout.Header) operatorapi.Accepted {
	return operatorapi.Accepted{
		Version: uint64(head.Version),
		Nonce:   operatorapi.NewOptString(string(head.Nonce)),
		Object:  operatorapi.NewOptString(string(head.Object)),
		Author:  string(head.Author),
		Time:    head.Time,
	}
}

// headerFromMessage returns the head of a message.
func headerFromMessage(message operatorapi.Accepted) rollout.Header {
	return rollout.Header{
		Version: model.Version(message.Version),
		Nonce:   model.Nonce(message.Nonce.Value),
		Object:  model.ObjectName(message.Object.Value),
		Author:  config.Author(message.Author),
		Time:    message.Time,
	}
}

// DocumentFromMessage translates a message into a document; both have the JSON form of schema/operator.yaml.
func DocumentFromMessage(message operatorapi.Document) (document config.Document, err error) {
	defer annotate(&err, "translate document")
	text, err := message.MarshalJSON()
	if err != nil {
		return config.Document{}, err
	}
	return config.Decode(string(text))
}

// DocumentMessage translates a document into a message.
func DocumentMessage(document config.Document) (message operatorapi.Document, err error) {
	defer annotate(&err, "translate document")
	text, err := config.Encode(document)
	if err != nil {
		return operatorapi.Document{}, err
	}
	err = message.UnmarshalJSON([]byte(text))
	return message, err
}

// objectName returns the name of the object of one attempt.
func objectName(version model.Version, nonce model.Nonce) model.ObjectName {
	return model.ObjectName(fmt.Sprintf("%s%020d-%s", objectPrefix, version, nonce))
}
