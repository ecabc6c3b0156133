package admit

// link is a list node that is embedded in its element, so that list operations never allocate.
type link[E any] struct {
	previous, next *link[E]
	value          *E
}

// list is an intrusive doubly linked list.
type list[E any] struct {
	first, last *link[E]
	length      int
}

// pushBack appends an item that is in no list.
func (l *list[E]) pushBack(item *link[E]) {
	item.previous, item.next = l.last, nil
	if l.last == nil {
		l.first = item
	} else {
		l.last.next = item
	}
	l.last = item
	l.length++
}

// pushFront inserts an item, which is in no list, at the front.
func (l *list[E]) pushFront(item *link[E]) {
	item.previous, item.next = nil, l.first
	if l.first == nil {
		l.last = item
	} else {
		l.first.previous = item
	}
	l.first = item
	l.length++
}

// remove removes an item, which must be in this list.
func (l *list[E]) remove(item *link[E]) {
	if item.previous == nil {
		l.first = item.next
	} else {
		item.previous.next = item.next
	}
	if item.next == nil {
		l.last = item.previous
	} else {
		item.next.previous = item.previous
	}
	item.previous, item.next = nil, nil
	l.length--
}

// front returns the first element, or nil if the list is empty.
func (l *list[E]) front() *E {
	if l.first == nil {
		return nil
	}
	return l.first.value
}

// back returns the last element, or nil if the list is empty.
func (l *list[E]) back() *E {
	if l.last == nil {
		return nil
	}
	return l.last.value
}
