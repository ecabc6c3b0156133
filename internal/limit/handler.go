package limit

import (
	"net"
	"net/http"
	"strconv"
	"time"
)

// retryAfter is when a refused caller should try again.
const retryAfter = 500 * time.Millisecond

// overloadedBody is the answer to a request that was not read; it has the form of a refusal of each interface.
var overloadedBody = []byte(`{"code":"overloaded","outcome":"not_run","notRun":true,"message":"this host takes no more requests of the caller now","retryAfterMs":` +
	strconv.FormatInt(retryAfter.Milliseconds(), 10) + `}`)

// Handler refuses requests beyond the callers' limits before it reads them; a caller is an IP number.
func Handler(callers *CallerLimiter[string], next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		caller := clientIP(r.RemoteAddr)
		if !callers.Acquire(caller) {
			refuse(w)
			return
		}
		defer callers.Release(caller)
		next.ServeHTTP(w, r)
	})
}

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusTooManyRequests)
	_, _ = w.Write(overloadedBody) // a caller that has gone needs no answer
}

// clientIP returns the IP number of an address with a port.
func clientIP(address string) string {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return ip
}
