package fulmarqueue

import "github.com/fulmardrum/fulmardrum/pkg/fulmarapi"

// team is one team's quota and its waiting requests by urgency.
type team[T any] struct {
	name      string
	quota     TeamQuota
	byUrgency [fulmarapi.UrgencyCount]entryList[T]
	waiting   int
	running   int
	// virtualTime advances by 1/weight with each popped request; the team with the lowest one is served next.
	virtualTime float64
}

func (t *team[T]) weight() float64 {
	if t.quota.Weight <= 0 {
		return 1
	}
	return t.quota.Weight
}

func (t *team[T]) isAtQuota() bool { return t.quota.MaxRunning > 0 && t.running >= t.quota.MaxRunning }

// entryList is a doubly linked list of entries.
type entryList[T any] struct {
	head, tail *Entry[T]
}

func (l *entryList[T]) link(entry *Entry[T], front bool) {
	entry.previous, entry.next = nil, nil
	if l.head == nil {
		l.head, l.tail = entry, entry
		return
	}
	if front {
		entry.next, l.head.previous = l.head, entry
		l.head = entry
		return
	}
	entry.previous, l.tail.next = l.tail, entry
	l.tail = entry
}

func (l *entryList[T]) unlink(entry *Entry[T]) {
	if entry.previous == nil {
		l.head = entry.next
	} else {
		entry.previous.next = entry.next
	}
	if entry.next == nil {
		l.tail = entry.previous
	} else {
		entry.next.previous = entry.previous
	}
	entry.previous, entry.next = nil, nil
}
