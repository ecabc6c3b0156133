package admit

// link is an element's place in a list; it is embedded in the element, so that lists never allocate.
type link[E any] struct {
	previous, next *link[E]
	value          *E
}

// list is a doubly linked list of embedded links.
type list[E any] struct {
	first, last *link[E]
	length      int
}

// pushBack appends the link.
func (l *list[E]) pushBack(k *link[E]) {
	k.previous, k.next = l.last, nil
	if l.last == nil {
		l.first = k
	} else {
		l.last.next = k
	}
	l.last = k
	l.length++
}

// pushFront puts the link before all others.
func (l *list[E]) pushFront(k *link[E]) {
	k.previous, k.next = nil, l.first
	if l.first == nil {
		l.last = k
	} else {
		l.first.previous = k
	}
	l.first = k
	l.length++
}

// remove takes a link that is in the list out of it.
func (l *list[E]) remove(k *link[E]) {
	if k.previous == nil {
		l.first = k.next
	} else {
		k.previous.next = k.next
	}
	if k.next == nil {
		l.last = k.previous
	} else {
		k.next.previous = k.previous
	}
	k.previous, k.next = nil, nil
	l.length--
}

// front returns the first element, or nil.
func (l *list[E]) front() *E {
	if l.first == nil {
		return nil
	}
	return l.first.value
}

// back returns the last element, or nil.
func (l *list[E]) back() *E {
	if l.last == nil {
		return nil
	}
	return l.last.value
}
