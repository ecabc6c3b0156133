package budget

import "context"

// contextKey is the key of an account in a context.
type contextKey struct{}

// NewContext returns a context with the account of the work that is done under it.
func NewContext(ctx context.Context, account *Account) context.Context {
	return context.WithValue(ctx, contextKey{}, account)
}

// FromContext returns the account in a context, or nil.
func FromContext(ctx context.Context) *Account {
	account, _ := ctx.Value(contextKey{}).(*Account)
	return account
}
