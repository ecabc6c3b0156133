package owner

import (
	"context"
	"errors"
	"testing"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
)

// errCut is the error of an answer that was cut short.
var errCut = errors.New("cut")

// scripted is a connection whose calls end with the given errors.
type scripted struct {
	endpoint.Conn
	run, close error
}

func (c scripted) Run(context.Context, model.Term, model.Work) (model.Result, model.InstanceState, error) {
	return model.Result{}, model.InstanceState{}, c.run
}

func (c scripted) Commit(context.Context, model.Term, model.RequestID) (model.Result, model.InstanceState, error) {
	return model.Result{}, model.InstanceState{}, c.run
}

func (c scripted) Close(context.Context) error { return c.close }

// opener is an instance that opens one scripted connection.
type opener struct {
	endpoint.Instance
	conn scripted
}

func (o opener) Open(context.Context, model.HostID, model.DatabaseID, model.Term) (endpoint.Conn, model.InstanceState, error) {
	return o.conn, model.InstanceState{}, nil
}

func TestDoubts(t *testing.T) {
	write := model.Work{Request: "w", Statement: model.Statement{Access: model.Write}}
	read := model.Work{Request: "w", Statement: model.Statement{Access: model.Read}}
	tests := map[string]struct {
		conn     scripted
		work     model.Work
		commit   bool
		close    bool
		question model.Term
		mayCome  bool
	}{
		"answered":                 {work: write, question: 2},
		"refused":                  {conn: scripted{run: model.Refuse(model.CodeSlotsFull, "x")}, work: write, question: 2},
		"write without an answer":  {conn: scripted{run: errCut}, work: write, question: 2, mayCome: true},
		"commit without an answer": {conn: scripted{run: errCut}, commit: true, question: 2, mayCome: true},
		"read without an answer":   {conn: scripted{run: errCut}, work: read, question: 2},
		"then closed":              {conn: scripted{run: errCut}, work: write, close: true, question: 2},
		"then gone":                {conn: scripted{run: errCut, close: model.Refuse(model.CodeUnknownConnection, "x")}, work: write, close: true, question: 2},
		"then close is lost too":   {conn: scripted{run: errCut, close: errCut}, work: write, close: true, question: 2, mayCome: true},
		"term has gone by":         {conn: scripted{run: errCut}, work: write, question: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			d := newDoubts()
			conn, _, err := d.watch(opener{conn: test.conn}).Open(ctx, "h-1", "seats", 2)
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
			if got := d.may("w", test.question); got != test.mayCome {
				t.Errorf("got that the change may come %v, want %v", got, test.mayCome)
			}
			if d.may("another", test.question) {
				t.Errorf("got a doubt of another request, want none")
			}
		})
	}
}
