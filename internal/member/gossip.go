package member

import (
	"cmp"
	"slices"
)

// GossipQueue holds items to send to other hosts: each is sent a limited number of times, those with the most sends left first.
type GossipQueue[K cmp.Ordered, T any] struct {
	// Limit is the maximum number of items in one heartbeat.
	Limit int

	items map[K]*queued[T]
}

// queued is an item and the number of heartbeats that it may still be sent in.
type queued[T any] struct {
	item      T
	sendsLeft int
}

// Add queues an item to be sent a number of times, replacing an item with the same key.
func (q *GossipQueue[K, T]) Add(key K, item T, times int) {
	if q.items == nil {
		q.items = make(map[K]*queued[T])
	}
	q.items[key] = &queued[T]{item: item, sendsLeft: times}
}

// Take returns the items for one heartbeat and counts them as sent.
func (q *GossipQueue[K, T]) Take() []T {
	keys := make([]K, 0, len(q.items))
	for key := range q.items {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b K) int {
		return cmp.Or(cmp.Compare(q.items[b].sendsLeft, q.items[a].sendsLeft), cmp.Compare(a, b))
	})
	keys = keys[:min(len(keys), q.Limit)]
	items := make([]T, 0, len(keys))
	for _, key := range keys {
		items = append(items, q.items[key].item)
		q.items[key].sendsLeft--
		if q.items[key].sendsLeft <= 0 {
			delete(q.items, key)
		}
	}
	return items
}

// Empty reports whether no item is queued.
func (q *GossipQueue[K, T]) Empty() bool {
	return len(q.items) == 0
}
