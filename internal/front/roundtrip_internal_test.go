package front

import (
	"errors"
	"os"
	"testing"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/session"
	"redwingspread/internal/statement"
)

// scriptedConn is a connection whose instance gives prepared answers.
type scriptedConn struct {
	InstanceConn
	answers []scriptedAnswer
}

// scriptedAnswer is one answer, or the error of receiving it.
type scriptedAnswer struct {
	response statement.Response
	err      error
}

// Send does nothing.
func (*scriptedConn) Send([]statement.Command) error { return nil }

// Receive returns the next answer.
func (c *scriptedConn) Receive(time.Time) (statement.Response, error) {
	answer := c.answers[0]
	c.answers = c.answers[1:]
	return answer.response, answer.err
}

// TestAnswerAfterALostSetup guards against a late answer to a session's value that is taken for the answer to the statement behind it.
func TestAnswerAfterALostSetup(t *testing.T) {
	success := scriptedAnswer{response: statement.Response{Signature: []byte("s"), State: statement.Open}}
	refusal := scriptedAnswer{response: statement.Response{Code: model.CodeInvalid, State: statement.Failed}}
	lost := scriptedAnswer{err: os.ErrDeadlineExceeded}
	tests := map[string]struct {
		answers []scriptedAnswer // to a value and to a read
		code    model.Code
		err     error
		refused bool
	}{
		"both succeed":                              {answers: []scriptedAnswer{success, success}},
		"the read is refused":                       {answers: []scriptedAnswer{success, refusal}, code: model.CodeInvalid},
		"the value and the read are refused":        {answers: []scriptedAnswer{refusal, refusal}, code: model.CodeInvalid, refused: true},
		"the answer to the value is late":           {answers: []scriptedAnswer{lost, refusal}, err: os.ErrDeadlineExceeded},
		"the answer to the value is late, and good": {answers: []scriptedAnswer{lost, success}, err: os.ErrDeadlineExceeded},
		"the answer to the read is late":            {answers: []scriptedAnswer{success, lost}, err: os.ErrDeadlineExceeded},
		"the read runs without the value":           {answers: []scriptedAnswer{refusal, success}, err: &setupError{}, refused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			conn := &pooledConn{InstanceConn: &scriptedConn{answers: test.answers}, connectionState: session.NewConnectionState()}
			s := &session.Session{Values: map[string]string{"v": "1"}}
			setup, own := conn.connectionState.Sync(s, statement.Statement{Verb: statement.Read}, nil)
			response, refused, err := conn.exchange(setup, statement.Command{Statement: own}, nil, time.Time{})
			if _, wantRefusal := test.err.(*setupError); wantRefusal != isSetupRefusal(err) || !wantRefusal && !errors.Is(err, test.err) {
				t.Errorf("got error %v, want %v", err, test.err)
			}
			if err == nil && response.Code != test.code {
				t.Errorf("got code %q, want %q", response.Code, test.code)
			}
			if (refused != nil) != test.refused {
				t.Errorf("got refusal %v of the value, want one: %t", refused, test.refused)
			}
		})
	}
}
