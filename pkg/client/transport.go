package client

import (
	"errors"
	"io"
	"net/http"
)

// errResponseTooLarge ends the reading of an answer that is larger than the limit.
var errResponseTooLarge = errors.New("the answer is larger than the client's limit")

// limitTransport is a transport that reads no more of an answer than its limit in bytes.
type limitTransport struct {
	next  http.RoundTripper
	limit int64
}

// RoundTrip sends the request and limits the body of its response.
func (l limitTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := l.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &limitedBody{ReadCloser: response.Body, remaining: l.limit}
	return response, nil
}

// limitedBody is a body that fails past its limit.
type limitedBody struct {
	io.ReadCloser
	remaining int64
}

// Read reads a part of the body.
func (b *limitedBody) Read(part []byte) (int, error) {
	n, err := b.ReadCloser.Read(part)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return n, errResponseTooLarge
	}
	return n, err
}

// bearerTransport is a transport that shows the caller's token.
type bearerTransport struct {
	next  http.RoundTripper
	token string
}

// RoundTrip sends a copy of the request with the token.
func (b bearerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if b.token == "" {
		return b.next.RoundTrip(request)
	}
	authorized := request.Clone(request.Context())
	authorized.Header.Set("Authorization", "Bearer "+b.token)
	return b.next.RoundTrip(authorized)
}
