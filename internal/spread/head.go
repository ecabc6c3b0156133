package spread

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
)

// RowKey is the row that names the newest configuration.
const RowKey model.RowKey = "configuration"

// objectPrefix begins the name of every object that holds a configuration.
const objectPrefix = "config/"

// pastHeads is the number of earlier heads that the row keeps, so that a lost answer can be settled after later changes.
const pastHeads = 16

// Head is one accepted configuration: its version, which only grows, who wrote it and where its document is.
type Head struct {
	Version model.Version    `json:"version"`
	Nonce   model.Nonce      `json:"nonce"`
	Object  model.ObjectName `json:"object"`
	Author  config.Author    `json:"author"`
	Time    time.Time        `json:"time"`
}

// row is the value of the row: the newest head and those before it, newest first.
type row struct {
	Heads []Head `json:"heads"`
}

// object is the content of one object.
type object struct {
	Head     Head   `json:"head"`
	Previous *Head  `json:"previous,omitempty"`
	Document string `json:"document"`
}

// ParseRow returns the newest head of the row's value.
func ParseRow(value string) (head Head, err error) {
	heads, err := parseHeads(value)
	if err != nil {
		return Head{}, err
	}
	return heads[0], nil
}

// parseHeads returns the heads of a row's value, newest first.
func parseHeads(value string) (heads []Head, err error) {
	var parsed row
	if err := json.Unmarshal([]byte(value), &parsed); err != nil {
		return nil, fmt.Errorf("row %s: %w", RowKey, err)
	}
	if len(parsed.Heads) == 0 {
		return nil, fmt.Errorf("row %s: no head", RowKey)
	}
	return parsed.Heads, nil
}

// encodeRow returns the row's value with a new head before the earlier ones.
func encodeRow(head Head, earlier []Head) (value string, err error) {
	heads := append([]Head{head}, earlier...)
	encoded, err := json.Marshal(row{Heads: heads[:min(len(heads), pastHeads)]})
	return string(encoded), err
}

// parseObject returns the content of an object and refuses one of another head.
func parseObject(text string, want Head) (content object, err error) {
	if err := json.NewDecoder(strings.NewReader(text)).Decode(&content); err != nil {
		return object{}, fmt.Errorf("object %s: %w", want.Object, err)
	}
	if content.Head.Nonce != want.Nonce || content.Head.Version != want.Version {
		return object{}, fmt.Errorf("object %s: holds version %d of another attempt", want.Object, content.Head.Version)
	}
	return content, nil
}

// objectName returns the name of the object of one attempt.
func objectName(version model.Version, nonce model.Nonce) model.ObjectName {
	return model.ObjectName(fmt.Sprintf("%s%020d-%s", objectPrefix, version, nonce))
}
