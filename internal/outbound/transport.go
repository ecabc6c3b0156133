package outbound

import (
	"net"
	"net/http"
	"time"
)

// The settings of a transport's connections; buffer sizes are in bytes.
const (
	dialTimeout       = 2 * time.Second
	keepAliveInterval = 15 * time.Second
	idleTimeout       = 90 * time.Second
	maxIdlePerHost    = 256
	writeBufferSize   = 4 << 10
	readBufferSize    = 16 << 10
)

// NewTransport returns an HTTP/1.1 transport that keeps enough idle connections for steady traffic.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		WriteBufferSize:     writeBufferSize,
		ReadBufferSize:      readBufferSize,
	}
}
