// Package retry decides whether work may be tried again, how soon, and how much of the traffic retries may make.
package retry
