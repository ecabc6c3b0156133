package admit

// indexedHeap is a binary heap of elements that hold their own index, so that one in the middle can be moved or removed.
type indexedHeap[E any] struct {
	items  []*E
	before func(a, b *E) bool // reports whether a is closer to the top
	index  func(e *E) *int    // returns where the element holds its index
}

// top returns the first element, or nil.
func (h *indexedHeap[E]) top() *E {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

// push adds an element.
func (h *indexedHeap[E]) push(e *E) {
	*h.index(e) = len(h.items)
	h.items = append(h.items, e)
	h.fix(e)
}

// remove removes an element of the heap.
func (h *indexedHeap[E]) remove(e *E) {
	i, last := *h.index(e), len(h.items)-1
	moved := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	if i == last {
		return
	}
	h.items[i] = moved
	*h.index(moved) = i
	h.fix(moved)
}

// fix moves an element whose order has changed.
func (h *indexedHeap[E]) fix(e *E) {
	i := *h.index(e)
	for i > 0 {
		parent := (i - 1) / 2
		if !h.before(e, h.items[parent]) {
			break
		}
		h.place(i, h.items[parent])
		i = parent
	}
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.before(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.before(h.items[child], e) {
			break
		}
		h.place(i, h.items[child])
		i = child
	}
	h.place(i, e)
}

// place puts an element at an index.
func (h *indexedHeap[E]) place(i int, e *E) {
	h.items[i] = e
	*h.index(e) = i
}
