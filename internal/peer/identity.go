package peer

import (
	"context"
	"net/http"

	"redwingspread/internal/auth"
	"redwingspread/internal/model"
)

// senderKey is the context key of the host that the client certificate names.
type senderKey struct{}

// identify returns a handler that stores the host of the client certificate, if any, in the request's context.
func identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil {
			next.ServeHTTP(w, r)
			return
		}
		host, err := auth.PeerHost(*r.TLS)
		if err != nil {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r.WithContext(withSender(r.Context(), host)))
	})
}

// withSender returns a context that carries the host of the client certificate.
func withSender(ctx context.Context, host model.HostID) context.Context {
	return context.WithValue(ctx, senderKey{}, host)
}

// checkSender refuses a message whose sender differs from the host that the client certificate names.
func checkSender(ctx context.Context, from model.HostID) error {
	host, found := ctx.Value(senderKey{}).(model.HostID)
	if !found || host != from {
		return model.Refuse(model.CodeInvalid, "the certificate does not name host %q", from)
	}
	return nil
}
