package ownership

import (
	"fmt"
	"strings"

	"redwingspread/internal/model"
	"redwingspread/internal/platform"
	"redwingspread/pkg/api/peerapi"
)

// Prefix is the key prefix of ownership rows.
const Prefix model.RowKey = "owner/"

// allRows is the key prefix that matches every row of the table.
const allRows model.RowKey = ""

// Key returns the key of the database's row.
func Key(database model.DatabaseID) model.RowKey {
	return Prefix + model.RowKey(database)
}

// Encode returns the JSON text of a row.
func Encode(row model.Ownership) (text string, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("encode the row of database %s: %w", row.Database, err)
		}
	}()
	message := ToMessage(row)
	if err := message.Validate(); err != nil {
		return "", err
	}
	encoded, err := message.MarshalJSON()
	return string(encoded), err
}

// Decode parses a row of the table.
func Decode(stored platform.Row) (row model.Ownership, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("decode row %s: %w", stored.Key, err)
		}
	}()
	database, found := strings.CutPrefix(string(stored.Key), string(Prefix))
	if !found || database == "" {
		return model.Ownership{}, fmt.Errorf("key does not name a database")
	}
	var message peerapi.OwnerRow
	if err := message.UnmarshalJSON([]byte(stored.Value)); err != nil {
		return model.Ownership{}, err
	}
	if err := message.Validate(); err != nil {
		return model.Ownership{}, err
	}
	return FromMessage(model.DatabaseID(database), stored.Version, &message), nil
}

// ToMessage translates a row into an API message.
func ToMessage(row model.Ownership) *peerapi.OwnerRow {
	message := &peerapi.OwnerRow{
		Owner:       string(row.Owner),
		Incarnation: uint64(row.Incarnation),
		Term:        uint64(row.Term),
		Primary:     string(row.Primary),
		Instances:   make([]string, 0, len(row.Instances)),
		Timeline:    make([]peerapi.Point, 0, len(row.Timeline)),
		Nonce:       string(row.Nonce),
	}
	for _, id := range row.Instances {
		message.Instances = append(message.Instances, string(id))
	}
	for _, start := range row.Timeline {
		message.Timeline = append(message.Timeline, peerapi.Point{Term: uint64(start.Term), Position: uint64(start.Position)})
	}
	return message
}

// FromMessage translates an API message into a row.
func FromMessage(database model.DatabaseID, version model.Version, message *peerapi.OwnerRow) model.Ownership {
	row := model.Ownership{
		Database:    database,
		Owner:       model.HostID(message.Owner),
		Incarnation: model.Incarnation(message.Incarnation),
		Term:        model.Term(message.Term),
		Primary:     model.InstanceID(message.Primary),
		Nonce:       model.Nonce(message.Nonce),
		Version:     version,
	}
	for _, id := range message.Instances {
		row.Instances = append(row.Instances, model.InstanceID(id))
	}
	for _, start := range message.Timeline {
		row.Timeline = append(row.Timeline, model.Point{Term: model.Term(start.Term), Position: model.Position(start.Position)})
	}
	return row
}
