// Package admit decides which waiting work runs next: pure, generic queues and policies without clock or socket.
package admit
