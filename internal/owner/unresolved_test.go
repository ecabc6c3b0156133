package owner

import (
	"context"
	"errors"
	"testing"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
)

// errConnectionCut stands for a connection that broke before the answer was complete.
var errConnectionCut = errors.New("cut")

// scriptedConn is a connection whose calls return the given errors.
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

// scriptedInstance is an instance whose Open returns the given connection.
type scriptedInstance struct {
	endpoint.Instance
	conn scriptedConn
}

func (o scriptedInstance) Open(context.Context, model.HostID, model.DatabaseID, model.Term) (endpoint.Conn, model.InstanceState, error) {
	return o.conn, model.InstanceState{}, nil
}

func TestUnresolvedWrites(t *testing.T) {
	write := model.Work{Request: "w", Statement: model.Statement{Access: model.Write}}
	read := model.Work{Request: "w", Statement: model.Statement{Access: model.Read}}
	tests := map[string]struct {
		conn   scriptedConn
		work   model.Work
		commit bool
		close  bool
		term   model.Term
		want   bool // result of mayApply
	}{
		"answered":                           {work: write, term: 2},
		"refused":                            {conn: scriptedConn{run: model.Refuse(model.CodeSlotsFull, "x")}, work: write, term: 2},
		"write without an answer":            {conn: scriptedConn{run: errConnectionCut}, work: write, term: 2, want: true},
		"commit without an answer":           {conn: scriptedConn{run: errConnectionCut}, commit: true, term: 2, want: true},
		"read without an answer":             {conn: scriptedConn{run: errConnectionCut}, work: read, term: 2},
		"closed afterwards":                  {conn: scriptedConn{run: errConnectionCut}, work: write, close: true, term: 2},
		"connection unknown to the instance": {conn: scriptedConn{run: errConnectionCut, close: model.Refuse(model.CodeUnknownConnection, "x")}, work: write, close: true, term: 2},
		"close without an answer":            {conn: scriptedConn{run: errConnectionCut, close: errConnectionCut}, work: write, close: true, term: 2, want: true},
		"asked about a later term":           {conn: scriptedConn{run: errConnectionCut}, work: write, term: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			writes := newUnresolvedWrites()
			conn, _, err := writes.wrap(scriptedInstance{conn: test.conn}).Open(ctx, "h-1", "seats", 2)
			if err != nil {
				t.Fatalf("got error %v from Open, want none", err)
			}
			if test.commit {
				_, _, _ = conn.Commit(ctx, 2, "w")
			} else {
				_, _, _ = conn.Run(ctx, 2, test.work)
			}
			if test.close {
				_ = conn.Close(ctx)
			}
			if got := writes.mayApply("w", test.term); got != test.want {
				t.Errorf("got mayApply %v, want %v", got, test.want)
			}
			if writes.mayApply("another", test.term) {
				t.Errorf("got mayApply true for another request, want false")
			}
		})
	}
}
