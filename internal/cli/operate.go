package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/config"
	"redwingspread/internal/ledger"
	"redwingspread/internal/model"
	"redwingspread/internal/settings"
	"redwingspread/pkg/api/operatorapi"
)

// operateTimeout is the time that a host has to answer an operator.
const operateTimeout = 10 * time.Second

// formatJSON is the form of output for programs.
const formatJSON = "json"

// operating is what every command of operators works with.
type operating struct {
	settings settings.Operate
	api      *operatorapi.Client
	in       io.Reader
	out      io.Writer
	notes    io.Writer // takes what is no result
}

// operateAction makes a command's action, which gets the connection to a host.
func operateAction(run func(ctx context.Context, o *operating, command *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		o, err := connect(command)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, operateTimeout)
		defer cancel()
		return explainRefusal(run(ctx, o, command))
	}
}

// connect reads the settings and makes the client of a host's operator interface.
func connect(command *cli.Command) (o *operating, err error) {
	loaded, err := settings.LoadOperate(command)
	if err != nil {
		return nil, err
	}
	transport, scheme, err := publicTransport(loaded.OperatorAuthorities)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", loaded.OperatorAddress, err)
	}
	authorized := &http.Client{Transport: bearerTransport{token: string(loaded.OperatorToken), next: transport}}
	api, err := operatorapi.NewClient(scheme+"://"+string(loaded.OperatorAddress), operatorapi.WithClient(authorized))
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", loaded.OperatorAddress, err)
	}
	root := command.Root()
	return &operating{settings: loaded, api: api, in: root.Reader, out: root.Writer, notes: root.ErrWriter}, nil
}

// publicTransport returns the transport and the scheme: TLS when the authorities are known.
func publicTransport(file string) (transport *http.Transport, scheme string, err error) {
	transport = &http.Transport{}
	if file == "" {
		return transport, "http", nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, "", err
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return nil, "", fmt.Errorf("%s: no authority's certificate in PEM", file)
	}
	transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: authorities}
	return transport, "https", nil
}

// bearerTransport adds the operator's token to each request.
type bearerTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip sends a copy of the request with the token.
func (t bearerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if t.token == "" {
		return t.next.RoundTrip(request)
	}
	authorized := request.Clone(request.Context())
	authorized.Header.Set("Authorization", "Bearer "+t.token)
	return t.next.RoundTrip(authorized)
}

// base is the configuration that a change starts from.
type base struct {
	version  model.Version
	document config.Document
}

// inForce returns the configuration in force on the host.
func (o *operating) inForce(ctx context.Context) (base, error) {
	return newBase(o.api.GetConfiguration(ctx))
}

// accepted returns one accepted configuration.
func (o *operating) accepted(ctx context.Context, version model.Version) (base, error) {
	entry, err := o.api.GetAccepted(ctx, operatorapi.GetAcceptedParams{Version: uint64(version)})
	if err != nil {
		return base{}, err
	}
	document, err := ledger.DocumentFromMessage(entry.Document)
	return base{version: version, document: document}, err
}

// newBase translates an answer with a configuration.
func newBase(answer *operatorapi.Configuration, err error) (base, error) {
	if err != nil {
		return base{}, err
	}
	document, err := ledger.DocumentFromMessage(answer.Document)
	return base{version: model.Version(answer.Version), document: document}, err
}

// exitError is an error with the exit code of the process.
type exitError struct {
	error
	code int
}

// Unwrap returns the error without the code.
func (e exitError) Unwrap() error {
	return e.error
}

// explainRefusal turns a host's refusal into lines for the operator and an exit code.
func explainRefusal(err error) error {
	var refusal *operatorapi.RefusalStatusCode
	if !errors.As(err, &refusal) {
		return err
	}
	text := fmt.Sprintf("%s: %s", refusal.Response.Code, refusal.Response.Message)
	for _, problem := range refusal.Response.Problems {
		text += "\n" + problem.Message
	}
	return exitError{error: errors.New(text), code: refusalExit(refusal.Response.Code)}
}

// refusalExit returns the exit code of a refusal.
func refusalExit(code operatorapi.RefusalCode) int {
	switch code {
	case operatorapi.RefusalCodeInvalid, operatorapi.RefusalCodeTooLarge:
		return exitUsage
	case operatorapi.RefusalCodeConflict:
		return exitConflict
	case operatorapi.RefusalCodeOutcomeUnknown:
		return exitUnknown
	case operatorapi.RefusalCodeUnauthorized, operatorapi.RefusalCodeForbidden:
		return exitDenied
	default:
		return exitFailed
	}
}
