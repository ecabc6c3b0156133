package auth

import (
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"redwingspread/internal/config"
	"redwingspread/internal/event"
	"redwingspread/internal/model"
)

// roleOrder lists the roles; each includes those before it.
var roleOrder = []config.Role{config.RoleCaller, config.RoleReader, config.RoleOperator}

// Allows reports whether the held role includes the needed one.
func Allows(held, needed config.Role) bool {
	return needed != "" && slices.Index(roleOrder, held) >= slices.Index(roleOrder, needed)
}

// Guard authorizes requests by their bearer token.
type Guard struct {
	// Policy returns the configuration in force, or nil.
	Policy func() *config.Policy
	// FirstOperator is the token of the first operator from the settings, of which only the hash is known.
	FirstOperator config.Token
	// OpenAccess allows every request, for test deployments on the loopback interface.
	OpenAccess bool
	// API is the name of the guarded API in log events.
	API string
	// Log logs the events of refused requests.
	Log log.Interface
	// Refuse writes a refusal in the form of the API.
	Refuse func(w http.ResponseWriter, refusal *model.Refusal)

	cached     atomic.Pointer[cachedTokens]
	logLimiter rate.Sometimes
}

// logInterval is the minimum time between two log events of refused requests, so that a flood of them does not fill the log.
const logInterval = time.Second

// NewGuard returns a guard; Policy, API, Log and Refuse must be set before use.
func NewGuard() *Guard {
	return &Guard{logLimiter: rate.Sometimes{Interval: logInterval}}
}

// cachedTokens is a policy with the token set built from it.
type cachedTokens struct {
	policy *config.Policy
	tokens *TokenSet
}

// Require returns a handler that passes requests on to next when their token has the needed role.
func (g *Guard) Require(needed func(r *http.Request) config.Role, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refusal := g.Check(r, needed(r)); refusal != nil {
			g.Refuse(w, refusal)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Check returns the refusal of a request whose token lacks the needed role, or nil.
func (g *Guard) Check(r *http.Request, needed config.Role) *model.Refusal {
	if g.OpenAccess || needed == "" {
		return nil
	}
	token, found := requestToken(r)
	holder, known := g.tokenSet().Holder(token)
	if !found || !known {
		g.logLimiter.Do(func() { event.TokenRefused(g.Log, g.API, r.RemoteAddr, r.URL.Path) })
		return model.Refuse(model.CodeUnauthorized, "no valid bearer token in the Authorization header")
	}
	if !Allows(holder.Role, needed) {
		g.logLimiter.Do(func() { event.RightMissing(g.Log, g.API, string(holder.Name), r.URL.Path) })
		return model.Refuse(model.CodeForbidden, "token %s has the role %s, but %s is needed", holder.Name, holder.Role, needed)
	}
	return nil
}

// tokenSet returns the tokens of the configuration in force, built once for each version.
func (g *Guard) tokenSet() *TokenSet {
	policy := g.Policy()
	cached := g.cached.Load()
	if cached != nil && cached.policy == policy {
		return cached.tokens
	}
	tokens := []config.Token{g.FirstOperator}
	if policy != nil {
		tokens = append(tokens, policy.Document.Tokens...)
	}
	built := &cachedTokens{policy: policy, tokens: NewTokenSet(tokens)}
	g.cached.Store(built)
	return built.tokens
}
