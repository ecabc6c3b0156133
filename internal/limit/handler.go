package limit

import (
	"net"
	"net/http"
	"strconv"
	"time"
)

// retryAfter is the delay after which a refused caller should try again.
const retryAfter = 500 * time.Millisecond

// overloadedBody is the response body for a request that was not read; it is valid as a refusal in every interface.
var overloadedBody = []byte(`{"code":"overloaded","outcome":"not_run","notRun":true,"message":"this host takes no more requests of the caller now","retryAfterMs":` +
	strconv.FormatInt(retryAfter.Milliseconds(), 10) + `}`)

// Handler refuses requests beyond the limits before their body is read; callers are told apart by IP address.
func Handler(limiter *CallerLimiter[string], next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		caller := clientIP(r.RemoteAddr)
		if !limiter.Acquire(caller) {
			Refuse(w)
			return
		}
		defer limiter.Release(caller)
		next.ServeHTTP(w, r)
	})
}

// Refuse responds that the request was not run.
func Refuse(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusTooManyRequests)
	_, _ = w.Write(overloadedBody) // the caller may have disconnected
}

// clientIP returns the IP address of an address with a port.
func clientIP(address string) string {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return ip
}
