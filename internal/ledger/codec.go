package ledger

import (
	"errors"
	"fmt"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
	"redwingspread/internal/rollout"
	"redwingspread/pkg/api/operatorapi"
)

// RowKey is the key of the row that names the newest configurations.
const RowKey model.RowKey = "configuration"

// objectPrefix is the prefix of the names of configuration objects.
const objectPrefix = "config/"

// maxRowHeaders is the number of headers that the row keeps. An attempt whose answer was lost finds its nonce there even after
// later changes.
const maxRowHeaders = 16

// Entry is the content of a configuration object.
type Entry struct {
	Header   rollout.Header
	Previous *rollout.Header // of the configuration before; nil if the row named none
	Document config.Document
}

// ParseRow returns the newest header in the row's value.
func ParseRow(value string) (header rollout.Header, err error) {
	headers, err := parseHeaders(value)
	if err != nil {
		return rollout.Header{}, err
	}
	return headers[0], nil
}

// parseHeaders returns the headers in the row's value, newest first.
func parseHeaders(value string) (headers []rollout.Header, err error) {
	defer annotate(&err, fmt.Sprintf("row %s", RowKey))
	var message operatorapi.History
	if err := message.UnmarshalJSON([]byte(value)); err != nil {
		return nil, err
	}
	if len(message.Versions) == 0 {
		return nil, errors.New("it lists no configuration")
	}
	for _, accepted := range message.Versions {
		headers = append(headers, headerFromMessage(accepted))
	}
	return headers, nil
}

// encodeRow returns the row's value with a new header in front of the earlier ones.
func encodeRow(header rollout.Header, earlier []rollout.Header) (value string, err error) {
	headers := append([]rollout.Header{header}, earlier...)
	var message operatorapi.History
	for _, kept := range headers[:min(len(headers), maxRowHeaders)] {
		message.Versions = append(message.Versions, HeaderMessage(kept))
	}
	encoded, err := message.MarshalJSON()
	return string(encoded), err
}

// encodeEntry returns the text of a configuration object.
func encodeEntry(entry Entry) (text string, err error) {
	message, err := EntryMessage(entry)
	if err != nil {
		return "", err
	}
	encoded, err := message.MarshalJSON()
	return string(encoded), err
}

// parseEntry parses a configuration object, and fails unless the object has the wanted version and nonce.
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

// EntryMessage translates an entry into an API message.
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

// HeaderMessage translates a header into an API message.
func HeaderMessage(header rollout.Header) operatorapi.Accepted {
	return operatorapi.Accepted{
		Version: uint64(header.Version),
		Nonce:   operatorapi.NewOptString(string(header.Nonce)),
		Object:  operatorapi.NewOptString(string(header.Object)),
		Author:  string(header.Author),
		Time:    header.Time,
	}
}

// headerFromMessage translates an API message into a header.
func headerFromMessage(message operatorapi.Accepted) rollout.Header {
	return rollout.Header{
		Version: model.Version(message.Version),
		Nonce:   model.Nonce(message.Nonce.Value),
		Object:  model.ObjectName(message.Object.Value),
		Author:  config.Author(message.Author),
		Time:    message.Time,
	}
}

// DocumentFromMessage translates an API message into a document. Both have the JSON form that schema/operator.yaml defines.
func DocumentFromMessage(message operatorapi.Document) (document config.Document, err error) {
	defer annotate(&err, "translate document")
	text, err := message.MarshalJSON()
	if err != nil {
		return config.Document{}, err
	}
	return config.Decode(string(text))
}

// DocumentMessage translates a document into an API message.
func DocumentMessage(document config.Document) (message operatorapi.Document, err error) {
	defer annotate(&err, "translate document")
	text, err := config.Encode(document)
	if err != nil {
		return operatorapi.Document{}, err
	}
	err = message.UnmarshalJSON([]byte(text))
	return message, err
}

// objectName returns the name of the object of one attempt; the nonce keeps attempts at the same version apart.
func objectName(version model.Version, nonce model.Nonce) model.ObjectName {
	return model.ObjectName(fmt.Sprintf("%s%020d-%s", objectPrefix, version, nonce))
}
