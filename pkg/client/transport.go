package client

import (
	"errors"
	"io"
	"net/http"
)

// errResponseTooLarge is the read error of a response body that is larger than the limit.
var errResponseTooLarge = errors.New("response body exceeds the client's size limit")

// limitTransport limits the size of response bodies.
type limitTransport struct {
	next  http.RoundTripper
	limit int64 // bytes
}

// RoundTrip sends the request and limits the body of the response.
func (l limitTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := l.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &limitedBody{ReadCloser: response.Body, remaining: l.limit}
	return response, nil
}

// limitedBody is a response body whose reads fail once it exceeds the limit.
type limitedBody struct {
	io.ReadCloser
	remaining int64 // bytes; negative once the limit is exceeded
}

// Read reads from the body and returns errResponseTooLarge once the limit is exceeded.
func (b *limitedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return n, errResponseTooLarge
	}
	return n, err
}

// bearerTransport adds the caller's bearer token to each request.
type bearerTransport struct {
	next  http.RoundTripper
	token string
}

// RoundTrip sends a copy of the request with the token; without a token, it sends the request itself.
func (b bearerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if b.token == "" {
		return b.next.RoundTrip(request)
	}
	authenticated := request.Clone(request.Context())
	authenticated.Header.Set("Authorization", "Bearer "+b.token)
	return b.next.RoundTrip(authenticated)
}
