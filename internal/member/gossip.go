package member

import (
	"cmp"
	"slices"
)

// GossipQueue holds news on their way to other hosts: each item is told a bounded number of times, the least told first.
type GossipQueue[K cmp.Ordered, T any] struct {
	// Limit is the number of items in one heartbeat.
	Limit int

	items map[K]*queued[T]
}

// queued is one item and the number of heartbeats it may still go into.
type queued[T any] struct {
	item      T
	sendsLeft int
}

// Add puts an item in, in place of an older one with the same key.
func (s *GossipQueue[K, T]) Add(key K, item T, times int) {
	if s.items == nil {
		s.items = make(map[K]*queued[T])
	}
	s.items[key] = &queued[T]{item: item, sendsLeft: times}
}

// Take returns the items for one heartbeat.
func (s *GossipQueue[K, T]) Take() []T {
	keys := make([]K, 0, len(s.items))
	for key := range s.items {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b K) int {
		return cmp.Or(cmp.Compare(s.items[b].sendsLeft, s.items[a].sendsLeft), cmp.Compare(a, b))
	})
	keys = keys[:min(len(keys), s.Limit)]
	items := make([]T, 0, len(keys))
	for _, key := range keys {
		items = append(items, s.items[key].item)
		s.items[key].sendsLeft--
		if s.items[key].sendsLeft <= 0 {
			delete(s.items, key)
		}
	}
	return items
}

// Empty reports whether nothing waits to be told.
func (s *GossipQueue[K, T]) Empty() bool {
	return len(s.items) == 0
}
