package outbound

import (
	"io"
	"net/http"

	"redwingspread/internal/budget"
	"redwingspread/internal/model"
)

const (
	answerCopies  = 4        // an answer is held as received, as a copy, as rows, and as what is sent to the caller
	uncountedSize = 16 << 10 // bytes of an answer up to which it takes no memory
)

// LimitAnswers returns a transport whose answers count in the account of the work that they are for, as the request's context holds it.
// Reading an answer without memory left fails. Work without an account has no limit.
func LimitAnswers(next http.RoundTripper) http.RoundTripper { return limitedTransport{next} }

// limitedTransport is the transport of LimitAnswers.
type limitedTransport struct{ next http.RoundTripper }

// RoundTrip sends the request.
func (l limitedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := l.next.RoundTrip(request)
	if room := budget.FromContext(request.Context()); err == nil && room != nil {
		response.Body = &limitedBody{ReadCloser: response.Body, room: room}
	}
	return response, err
}

// limitedBody is the body of an answer that counts in an account until the work ends.
type limitedBody struct {
	io.ReadCloser
	room    *budget.Account
	size    int // bytes read
	counted int // bytes for which memory was taken
}

// Read reads a part of the answer; the account takes the memory in steps, before the part is read.
func (b *limitedBody) Read(part []byte) (int, error) {
	if wanted := b.size + len(part); wanted > max(b.counted, uncountedSize) {
		if refusal := b.room.Grow(model.Bytes(answerCopies * (wanted - b.counted))); refusal != nil {
			return 0, refusal
		}
		b.counted = wanted
	}
	size, err := b.ReadCloser.Read(part)
	b.size += size
	return size, err
}
