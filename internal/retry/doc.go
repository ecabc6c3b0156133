// Package retry decides whether a request may be retried and after which delay, and limits the share of retries in the traffic.
package retry
