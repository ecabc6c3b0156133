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

// operatorTimeout is the time that a host has to answer an operator.
const operatorTimeout = 10 * time.Second

// formatJSON is the form of output for programs.
const formatJSON = "json"

// operatorClient is what every command of operators works with.
type operatorClient struct {
	settings settings.Operate
	api      *operatorapi.Client
	in       io.Reader
	out      io.Writer
	errOut   io.Writer // takes what is no result
}

// operatorAction makes a command's action, which gets the connection to a host.
func operatorAction(run func(ctx context.Context, o *operatorClient, command *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		o, err := connect(command)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
		defer cancel()
		return refusalError(run(ctx, o, command))
	}
}

// connect reads the settings and makes the client of a host's operator interface.
func connect(command *cli.Command) (o *operatorClient, err error) {
	loaded, err := settings.LoadOperate(command)
	if err != nil {
		return nil, err
	}
	transport, scheme, err := newTransport(loaded.OperatorAuthorities)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", loaded.OperatorAddress, err)
	}
	authorized := &http.Client{Transport: bearerTransport{token: string(loaded.OperatorToken), base: transport}}
	api, err := operatorapi.NewClient(scheme+"://"+string(loaded.OperatorAddress), operatorapi.WithClient(authorized))
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", loaded.OperatorAddress, err)
	}
	root := command.Root()
	return &operatorClient{settings: loaded, api: api, in: root.Reader, out: root.Writer, errOut: root.ErrWriter}, nil
}

// newTransport returns the transport and the scheme: TLS when the authorities are known.
func newTransport(file string) (transport *http.Transport, scheme string, err error) {
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
	base  http.RoundTripper
}

// RoundTrip sends a copy of the request with the token.
func (t bearerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if t.token == "" {
		return t.base.RoundTrip(request)
	}
	authorized := request.Clone(request.Context())
	authorized.Header.Set("Authorization", "Bearer "+t.token)
	return t.base.RoundTrip(authorized)
}

// versionedDocument is the configuration that a change starts from.
type versionedDocument struct {
	version  model.Version
	document config.Document
}

// inForce returns the configuration in force on the host.
func (o *operatorClient) inForce(ctx context.Context) (versionedDocument, error) {
	return newVersionedDocument(o.api.GetConfiguration(ctx))
}

// acceptedVersion returns one accepted configuration.
func (o *operatorClient) acceptedVersion(ctx context.Context, version model.Version) (versionedDocument, error) {
	entry, err := o.api.GetAccepted(ctx, operatorapi.GetAcceptedParams{Version: uint64(version)})
	if err != nil {
		return versionedDocument{}, err
	}
	document, err := ledger.DocumentFromMessage(entry.Document)
	return versionedDocument{version: version, document: document}, err
}

// newVersionedDocument translates an answer with a configuration.
func newVersionedDocument(answer *operatorapi.Configuration, err error) (versionedDocument, error) {
	if err != nil {
		return versionedDocument{}, err
	}
	document, err := ledger.DocumentFromMessage(answer.Document)
	return versionedDocument{version: model.Version(answer.Version), document: document}, err
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

// refusalError turns a host's refusal into lines for the operator and an exit code.
func refusalError(err error) error {
	var refusal *operatorapi.RefusalStatusCode
	if !errors.As(err, &refusal) {
		return err
	}
	text := fmt.Sprintf("%s: %s", refusal.Response.Code, refusal.Response.Message)
	for _, problem := range refusal.Response.Problems {
		text += "\n" + problem.Message
	}
	return exitError{error: errors.New(text), code: refusalExitCode(refusal.Response.Code)}
}

// refusalExitCode returns the exit code of a refusal.
func refusalExitCode(code operatorapi.RefusalCode) int {
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
