package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
	"redwingspread/internal/outbound"
	"redwingspread/internal/standin"
	"redwingspread/internal/standin/instance"
)

// framingSamples is the number of calls over which the HTTP overhead is averaged.
const framingSamples = 100

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts the bytes received.
func (c countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes sent.
func (c countingConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.bytes.Add(int64(n))
	return n, err
}

// MeasureFraming returns the average HTTP overhead of a call to an instance on a persistent connection: the bytes in both
// directions without the body.
func MeasureFraming(ctx context.Context) (framing Bytes, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("measure framing: %w", err)
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	standIn := instance.New()
	standIn.ID = "database0000-0"
	standIn.Database = "database0000"
	errs := make(chan error, 2)
	go standIn.Run(ctx, errs)
	go standin.Serve(ctx, listener, standIn.Handler(), errs)
	framing, err = measureFraming(ctx, model.Address(listener.Addr().String()))
	cancel()
	<-errs
	<-errs
	return framing, err
}

// measureFraming returns the average HTTP overhead of a call to the instance at the address.
func measureFraming(ctx context.Context, address model.Address) (Bytes, error) {
	var transferred atomic.Int64
	transport := outbound.NewTransport()
	defer transport.CloseIdleConnections()
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, target string) (net.Conn, error) {
		conn, err := dial(ctx, network, target)
		return countingConn{Conn: conn, bytes: &transferred}, err
	}
	client := endpoint.NewClient()
	client.Host = "host0000"
	client.Target = model.Instance{Address: address}
	client.HTTP = &http.Client{Transport: transport}
	var bodies Bytes
	for range framingSamples {
		state, err := client.State(ctx)
		if err != nil {
			return 0, err
		}
		bodies += stateSize(state)
	}
	return (Bytes(transferred.Load()) - bodies) / framingSamples, nil
}
