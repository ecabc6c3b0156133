package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"redwingspread/internal/event"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
)

// maxLineBytes is the longest line that is read, in bytes; the hosts' own are far shorter.
const maxLineBytes = 1 << 20

// Line is one line of a host's log, with those of its fields that a cause may follow from.
type Line struct {
	Source   string           `json:"-"` // the host, as the reader names it
	Raw      string           `json:"-"` // the line's JSON as it was written
	Time     time.Time        `json:"time"`
	Event    event.Number     `json:"event"`
	Message  string           `json:"message"`
	Request  model.RequestID  `json:"request"`
	Kind     model.KindID     `json:"kind"`
	Code     model.Code       `json:"code"`
	Reason   string           `json:"reason"`
	Instance model.InstanceID `json:"instance"`
	Database model.DatabaseID `json:"database"`
	State    failover.State   `json:"state"`
	Version  model.Version    `json:"version"`
}

// Read returns the lines of one log and the number of those that are no log lines.
//
// What stands before a line's JSON, as collectors write it, names its source; otherwise the given name does.
func Read(source string, log io.Reader) (lines []Line, skipped int, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("explain: log %s: %w", source, err)
		}
	}()
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		prefix, body, found := bytes.Cut(scanner.Bytes(), []byte("{"))
		line := Line{Source: source, Raw: "{" + string(body)}
		if !found || json.Unmarshal([]byte(line.Raw), &line) != nil || line.Event == 0 {
			skipped++
			continue
		}
		if words := strings.Fields(string(prefix)); len(words) > 0 {
			line.Source = words[len(words)-1]
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}
