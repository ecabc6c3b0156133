package owner

import (
	"context"
	"errors"
	"testing"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
)

// errConnectionCut is the error of an answer that was cut short.
var errConnectionCut = errors.New("cut")

// scriptedConn is a connection whose calls end with the given errors.
type scriptedConn struct {
	endpoint.Conn
	run, close error
}

func (c scriptedConn) Run(context.Context, model.Term, model.Work) (model.Result, model.InstanceState, error) {
	return model.Result{}, model.InstanceState{}, c.run
}

func (c scriptedConn) Commit(context.Context, model.Term, model.RequestID) (model.Result, model.InstanceState, error) {
	return model.Result{}, model.InstanceState{}, c.run
}

func (c scriptedConn) Close(context.Context) error { return c.close }

// scriptedInstance is an instance that opens one scripted connection.
type scriptedInstance struct {
	endpoint.Instance
	conn scriptedConn
}

func (o scriptedInstance) Open(context.Context, model.HostID, model.DatabaseID, model.Term) (endpoint.Conn, model.InstanceState, error) {
	return o.conn, model.InstanceState{}, nil
}

func TestDoubts(t *testing.T) {
	write := model.Work{Request: "w", Statement: model.Statement{Access: model.Write}}
	read := model.Work{Request: "w", Statement: model.Statement{Access: model.Read}}
	tests := map[string]struct {
		conn     scriptedConn
		work     model.Work
		commit   bool
		close    bool
		question model.Term
		mayCome  bool
	}{
		"answered":                 {work: write, question: 2},
		"refused":                  {conn: scriptedConn{run: model.Refuse(model.CodeSlotsFull, "x")}, work: write, question: 2},
		"write without an answer":  {conn: scriptedConn{run: errConnectionCut}, work: write, question: 2, mayCome: true},
		"commit without an answer": {conn: scriptedConn{run: errConnectionCut}, commit: true, question: 2, mayCome: true},
		"read without an answer":   {conn: scriptedConn{run: errConnectionCut}, work: read, question: 2},
		"then closed":              {conn: scriptedConn{run: errConnectionCut}, work: write, close: true, question: 2},
		"then gone":                {conn: scriptedConn{run: errConnectionCut, close: model.Refuse(model.CodeUnknownConnection, "x")}, work: write, close: true, question: 2},
		"then close is lost too":   {conn: scriptedConn{run: errConnectionCut, close: errConnectionCut}, work: write, close: true, question: 2, mayCome: true},
		"term has gone by":         {conn: scriptedConn{run: errConnectionCut}, work: write, question: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			d := newUnresolvedWrites()
			conn, _, err := d.wrap(scriptedInstance{conn: test.conn}).Open(ctx, "h-1", "seats", 2)
			if err != nil {
				t.Fatalf("got error %v of Open, want none", err)
			}
			if test.commit {
				_, _, _ = conn.Commit(ctx, 2, "w")
			} else {
				_, _, _ = conn.Run(ctx, 2, test.work)
			}
			if test.close {
				_ = conn.Close(ctx)
			}
			if got := d.mayApply("w", test.question); got != test.mayCome {
				t.Errorf("got that the change may come %v, want %v", got, test.mayCome)
			}
			if d.mayApply("another", test.question) {
				t.Errorf("got a doubt of another request, want none")
			}
		})
	}
}
