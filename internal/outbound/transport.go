package outbound

import (
	"net"
	"net/http"
	"time"
)

// The limits of a transport's connections.
const (
	dialLimit       = 2 * time.Second
	keepAlive       = 15 * time.Second
	idleLimit       = 90 * time.Second
	idlePerAddress  = 256
	writeBufferSize = 4 << 10
	readBufferSize  = 16 << 10
)

// NewTransport returns an HTTP/1.1 transport that keeps enough idle connections for steady traffic.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialLimit, KeepAlive: keepAlive}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idlePerAddress,
		IdleConnTimeout:     idleLimit,
		DisableCompression:  true,
		WriteBufferSize:     writeBufferSize,
		ReadBufferSize:      readBufferSize,
	}
}
