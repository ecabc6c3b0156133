package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"redwingspread/internal/model"
)

// MaxDocumentBytes is the limit on the size of an encoded document.
const MaxDocumentBytes = 4 << 20

// Encode returns the document as JSON, in the form that schema/operator.yaml defines.
func Encode(d Document) (text string, err error) {
	if d.Defaults.RankFloors == nil {
		d.Defaults.RankFloors = []model.Percent{}
	}
	if d.Kinds == nil {
		d.Kinds = []Kind{}
	}
	if d.Exceptions == nil {
		d.Exceptions = []Exception{}
	}
	encoded, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return "", fmt.Errorf("encode configuration: %w", err)
	}
	return string(encoded) + "\n", nil
}

// Decode parses a JSON document and rejects unknown fields, so that nothing an operator wrote is silently ignored.
func Decode(text string) (d Document, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("decode configuration: %w", err)
		}
	}()
	if len(text) > MaxDocumentBytes {
		return Document{}, fmt.Errorf("%d bytes are more than %d", len(text), MaxDocumentBytes)
	}
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return Document{}, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Document{}, errors.New("text after the document")
	}
	return d, nil
}

// Parse decodes, checks and compiles a document.
func Parse(version model.Version, text string) (*Policy, error) {
	document, err := Decode(text)
	if err != nil {
		return nil, err
	}
	return Compile(version, document)
}
