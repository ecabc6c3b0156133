package serve

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"redwingspread/internal/budget"
	"redwingspread/internal/limit"
	"redwingspread/internal/model"
)

const (
	bodyCopies    = 4               // a body is held as received, as a copy, as texts, and as what is sent to an instance or another host
	uncountedBody = 4 << 10         // bytes of a body up to which it takes no memory of the budget
	reserveBody   = 16 << 10        // bytes of a body up to which it is within the reserve of its connection
	pieceSize     = 16 << 10        // bytes of a body that are read at once
	writeTimeout  = 5 * time.Second // for an answer, beside the time for its size
	writeRate     = 1 << 20         // bytes a second at which a client has to read an answer
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn returns the context of a connection's requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	return context.WithValue(ctx, connKey{}, conn)
}

// limitAnswers returns a handler that limits the time to read each answer.
func limitAnswers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limited := &answerWriter{ResponseWriter: w}
		defer limited.finish()
		next.ServeHTTP(limited, r)
	})
}

// LimitBodies returns a handler that receives each body within the memory left, and passes the request on with an account for answers.
// The caller's rights have to be checked before. A connection gives way to others unless its request has arrived and has no answer yet.
func LimitBodies(memory *budget.Budget, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var small, large, answers budget.Account
		small.Init(memory, budget.Reserve, 0)
		large.Init(memory, budget.Messages, 0)
		answers.Init(memory, budget.Answers, 0)
		for _, room := range []*budget.Account{&small, &large, &answers} {
			defer room.Close()
		}
		body, err := receiveBody(r, &small, &large)
		var refusal *model.Refusal
		if errors.As(err, &refusal) {
			w.Header().Set("Connection", "close") // what is left of the body is not read
			limit.Refuse(w)
			return
		}
		r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), failedReader{err}))
		if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok && err == nil {
			limit.Hold(conn)
			defer limit.Yield(conn)
		}
		next.ServeHTTP(w, r.WithContext(budget.NewContext(r.Context(), &answers)))
	})
}

// receiveBody reads a body, whose memory the accounts take before it is read. Its error is a refusal if there is none left.
func receiveBody(r *http.Request, small, large *budget.Account) (read []byte, err error) {
	for {
		if len(read) == cap(read) || read == nil {
			grown := max(2*cap(read), bytes.MinRead)
			if r.ContentLength >= int64(len(read)) {
				grown = min(grown, int(r.ContentLength)+1) // one more, to see the end
			}
			if refusal := reserve(grown, small, large); refusal != nil {
				return nil, refusal
			}
			read = append(make([]byte, 0, grown), read...)
		}
		piece := read[len(read):min(cap(read), len(read)+pieceSize)]
		size, err := r.Body.Read(piece)
		read = read[:len(read)+size]
		if errors.Is(err, io.EOF) {
			return read, nil
		}
		if err != nil {
			return read, err
		}
	}
}

// reserve takes memory for a body of the size.
func reserve(size int, small, large *budget.Account) *model.Refusal {
	switch {
	case size <= uncountedBody:
		return nil
	case size <= reserveBody:
		return small.Resize(model.Bytes(bodyCopies * size))
	}
	_ = small.Resize(0) // a smaller size is not refused
	return large.Resize(model.Bytes(bodyCopies * size))
}

// failedReader returns the error of a body that could not be read in full, or io.EOF.
type failedReader struct{ err error }

// Read returns the error.
func (f failedReader) Read([]byte) (int, error) {
	if f.err == nil {
		return 0, io.EOF
	}
	return 0, f.err
}

// answerWriter limits the time in which a client has to read an answer. What it has not read in time is given up with the connection.
type answerWriter struct {
	http.ResponseWriter
	until time.Time // zero before the first write
}

// Unwrap returns the writer, for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write writes a part of the answer.
func (w *answerWriter) Write(part []byte) (int, error) {
	w.extend(len(part))
	return w.ResponseWriter.Write(part)
}

// finish allows for what the server writes after the handler.
func (w *answerWriter) finish() { w.extend(0) }

// extend adds the time for a part of the answer to the limit.
func (w *answerWriter) extend(size int) {
	if w.until.IsZero() {
		w.until = time.Now().Add(writeTimeout)
	}
	w.until = w.until.Add(time.Duration(size) * time.Second / writeRate)
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(w.until) // fails only on a closed connection, or without one in tests
}
