// Package member decides which hosts are alive, from heartbeats, news of other hosts and the platform's list.
package member
