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

// operatorTimeout limits the duration of an operator command, with all its calls to the host.
const operatorTimeout = 10 * time.Second

// formatJSON is the value of the format setting that selects JSON output.
const formatJSON = "json"

// operatorClient holds the settings, the API client and the streams of an operator command.
type operatorClient struct {
	settings settings.Operate
	api      *operatorapi.Client
	in       io.Reader
	out      io.Writer
	errOut   io.Writer // for output that is not part of the result
}

// operatorAction returns an action that calls run with a client for the host in the settings.
func operatorAction(run func(ctx context.Context, o *operatorClient, command *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		o, err := newOperatorClient(command)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
		defer cancel()
		return refusalError(run(ctx, o, command))
	}
}

// newOperatorClient loads the settings and creates a client of the host's operator API, which connects at its first request.
func newOperatorClient(command *cli.Command) (o *operatorClient, err error) {
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

// newTransport returns an HTTP transport and the URL scheme: with TLS if a file of authorities is given.
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
		return nil, "", fmt.Errorf("%s: no certificate of an authority in PEM", file)
	}
	transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: authorities}
	return transport, "https", nil
}

// bearerTransport adds a bearer token to each request.
type bearerTransport struct {
	token string
	base  http.RoundTripper
}

// RoundTrip sends a copy of the request that has the token, or the request itself if there is none.
func (t bearerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if t.token == "" {
		return t.base.RoundTrip(request)
	}
	authorized := request.Clone(request.Context())
	authorized.Header.Set("Authorization", "Bearer "+t.token)
	return t.base.RoundTrip(authorized)
}

// versionedDocument is a configuration and its version.
type versionedDocument struct {
	version  model.Version
	document config.Document
}

// inForce returns the configuration that is in force on the host.
func (o *operatorClient) inForce(ctx context.Context) (versionedDocument, error) {
	return newVersionedDocument(o.api.GetConfiguration(ctx))
}

// acceptedVersion returns the configuration accepted under a version.
func (o *operatorClient) acceptedVersion(ctx context.Context, version model.Version) (versionedDocument, error) {
	entry, err := o.api.GetAccepted(ctx, operatorapi.GetAcceptedParams{Version: uint64(version)})
	if err != nil {
		return versionedDocument{}, err
	}
	document, err := ledger.DocumentFromMessage(entry.Document)
	return versionedDocument{version: version, document: document}, err
}

// newVersionedDocument decodes the configuration in a response; an error is passed through.
func newVersionedDocument(response *operatorapi.Configuration, err error) (versionedDocument, error) {
	if err != nil {
		return versionedDocument{}, err
	}
	document, err := ledger.DocumentFromMessage(response.Document)
	return versionedDocument{version: model.Version(response.Version), document: document}, err
}

// exitError is an error that determines the exit code of the process.
type exitError struct {
	error
	code int
}

// Unwrap returns the error without the code.
func (e exitError) Unwrap() error {
	return e.error
}

// refusalError converts a refusal into a message with its problems, one a line, and an exit code; other errors are returned
// unchanged.
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

// refusalExitCode maps the code of a refusal to an exit code.
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
