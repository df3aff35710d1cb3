package fulmarledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// fakeStore is a linearizable store whose answers can be lost and whose calls can be repeated later.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]Item
	leases   map[int64]bool
	next     int64
	calls    int
	// lose tells what becomes of the n-th commit: its answer is lost before or after it is carried out.
	lose func(n int) fate
	// late are commits that are carried out once more later.
	late []Transaction
}

type fate int

const (
	answered fate = iota
	lostBefore
	lostAfter
	refused
)

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]Item{}, leases: map[int64]bool{}, lose: func(int) fate { return answered }}
}

// fail sets what becomes of commits. Copies of earlier ones may still be on their way.
func (s *fakeStore) fail(lose func(n int) fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = lose
}

func (s *fakeStore) Range(_ context.Context, prefix, after string) (Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	const pageItems = 7
	page := Page{Revision: s.revision, More: len(keys) > pageItems}
	for _, k := range keys[:min(len(keys), pageItems)] {
		page.Items = append(page.Items, s.items[k])
	}
	return page, nil
}

func (s *fakeStore) Watch(context.Context, string, int64, fulmarclock.Millis) (Page, error) {
	return Page{}, &fulmarjob.ForgottenError{Call: "watch"}
}

func (s *fakeStore) Commit(_ context.Context, t Transaction) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	switch s.lose(s.calls) {
	case lostBefore:
		s.late = append(s.late, t)
		return 0, &fulmarjob.UnknownError{Call: "commit", Cause: context.DeadlineExceeded}
	case lostAfter:
		_, _ = s.carryOut(t)
		s.late = append(s.late, t)
		return 0, &fulmarjob.UnknownError{Call: "commit", Cause: context.DeadlineExceeded}
	case refused:
		return 0, &fulmarjob.NotDoneError{Call: "commit", Status: 503}
	}
	return s.carryOut(t)
}

func (s *fakeStore) carryOut(t Transaction) (int64, error) {
	var present []Item
	holds := true
	for _, c := range t.Conditions {
		i, found := s.items[c.Key]
		if found {
			present = append(present, i)
		}
		holds = holds && i.Revision == c.Revision
	}
	if !holds {
		return 0, &ConflictError{Present: present}
	}
	s.revision++
	for _, p := range t.Puts {
		s.items[p.Key] = Item{Key: p.Key, Value: p.Value, Revision: s.revision}
	}
	for _, k := range t.Remove {
		delete(s.items, k)
	}
	return s.revision, nil
}

func (s *fakeStore) Lease(context.Context, fulmarclock.Millis) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.leases[s.next] = true
	return s.next, nil
}

func (s *fakeStore) Keep(context.Context, int64) error { return nil }

func (s *fakeStore) End(context.Context, int64) error {
	s.dropOwner()
	return nil
}

func (s *fakeStore) dropOwner() {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.items, OwnerKey)
	s.revision++
}

func (s *fakeStore) carryOutLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.late {
		_, _ = s.carryOut(t)
	}
	s.late = nil
}

func claimAndOpen(t *testing.T, s *fakeStore, member string) (*Journal, map[string]string) {
	t.Helper()
	ctx := context.Background()
	clock := immediateClock{fulmarclock.NewSystem()}
	claim, err := TryClaim(ctx, s, clock, Owner{Member: member}, 1000)
	quicktest.Assert(t, err, quicktest.IsNil)
	j, records, err := Open(ctx, s, clock, claim, func(error) {})
	quicktest.Assert(t, err, quicktest.IsNil)
	values := map[string]string{}
	for _, r := range records {
		values[r.Key] = string(r.Value)
	}
	return j, values
}

// immediateClock lets no time pass in waits.
type immediateClock struct{ fulmarclock.Clock }

func (immediateClock) After(fulmarclock.Millis) <-chan fulmarclock.Millis {
	done := make(chan fulmarclock.Millis, 1)
	done <- 0
	return done
}

func record(key string, value int) Record {
	return Record{Key: key, Value: json.RawMessage(fmt.Sprint(value))}
}

func TestOnlyOneOwner(t *testing.T) {
	s := newFakeStore()
	claimAndOpen(t, s, "a")
	_, err := TryClaim(context.Background(), s, fulmarclock.NewSystem(), Owner{Member: "b"}, 1000)
	var taken *TakenError
	quicktest.Assert(t, errors.As(err, &taken), quicktest.IsTrue)
	quicktest.Assert(t, taken.Owner.Member, quicktest.Equals, "a")
}

func TestTokensRise(t *testing.T) {
	s := newFakeStore()
	last := int64(0)
	for range 4 {
		j, _ := claimAndOpen(t, s, "a")
		quicktest.Assert(t, j.claim.Token() > last, quicktest.IsTrue)
		last = j.claim.Token()
		s.dropOwner()
	}
}

func TestAppendsSurviveLostAnswers(t *testing.T) {
	for _, row := range []struct {
		name string
		lose func(n int) fate
	}{
		{"each answer arrives", func(int) fate { return answered }},
		{"answers are lost before", func(n int) fate { return fate(min(n%2, 1)) }},
		{"answers are lost after", func(n int) fate {
			if n%2 == 0 {
				return lostAfter
			}
			return answered
		}},
		{"calls are refused", func(n int) fate {
			if n%3 != 0 {
				return refused
			}
			return answered
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newFakeStore()
			j, _ := claimAndOpen(t, s, "a")
			s.fail(row.lose)
			for i := range 40 {
				quicktest.Assert(t, j.Append(context.Background(), []Record{record(fmt.Sprint(i%5), i)}), quicktest.IsNil)
				s.carryOutLate()
			}
			s.fail(func(int) fate { return answered })
			s.dropOwner()
			_, values := claimAndOpen(t, s, "b")
			quicktest.Assert(t, values, quicktest.DeepEquals, map[string]string{"0": "35", "1": "36", "2": "37", "3": "38", "4": "39"})
		})
	}
}

func TestADeposedOwnerAppendsNothing(t *testing.T) {
	s := newFakeStore()
	a, _ := claimAndOpen(t, s, "a")
	quicktest.Assert(t, a.Append(context.Background(), []Record{record("x", 1)}), quicktest.IsNil)
	s.dropOwner()
	b, _ := claimAndOpen(t, s, "b")
	err := a.Append(context.Background(), []Record{record("x", 2)})
	var lost *LostError
	quicktest.Assert(t, errors.As(err, &lost), quicktest.IsTrue)
	quicktest.Assert(t, b.Append(context.Background(), []Record{record("x", 3)}), quicktest.IsNil)
	s.dropOwner()
	_, values := claimAndOpen(t, s, "c")
	quicktest.Assert(t, values["x"], quicktest.Equals, "3")
}

// An append of a deposed owner that is carried out late changes nothing.
func TestALateAppendOfADeposedOwnerChangesNothing(t *testing.T) {
	s := newFakeStore()
	a, _ := claimAndOpen(t, s, "a")
	quicktest.Assert(t, a.Append(context.Background(), []Record{record("x", 1)}), quicktest.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	s.fail(func(int) fate {
		cancel()
		return lostBefore
	})
	quicktest.Assert(t, a.Append(ctx, []Record{record("x", 2)}), quicktest.IsNotNil)
	s.fail(func(int) fate { return answered })
	s.dropOwner()
	claimAndOpen(t, s, "b")
	s.carryOutLate()
	s.dropOwner()
	_, values := claimAndOpen(t, s, "c")
	quicktest.Assert(t, values["x"], quicktest.Equals, "1")
}

func TestOldSegmentsGoAndRecordsStay(t *testing.T) {
	s := newFakeStore()
	j, _ := claimAndOpen(t, s, "a")
	present := map[string]int{"kept": 1}
	quicktest.Assert(t, j.Append(context.Background(), []Record{record("kept", 1), record("gone", 1)}), quicktest.IsNil)
	quicktest.Assert(t, j.Append(context.Background(), []Record{{Key: "gone"}}), quicktest.IsNil)
	for i := range 2 * keptSegments {
		batch := []Record{record("busy", i)}
		for _, key := range j.Due() {
			if value, known := present[key]; known {
				batch = append(batch, record(key, value))
			}
		}
		quicktest.Assert(t, j.Append(context.Background(), batch), quicktest.IsNil)
	}
	quicktest.Assert(t, len(s.items) <= keptSegments+removedSegments, quicktest.IsTrue, quicktest.Commentf("%d keys", len(s.items)))
	s.dropOwner()
	_, values := claimAndOpen(t, s, "b")
	quicktest.Assert(t, values, quicktest.DeepEquals, map[string]string{"kept": "1", "busy": fmt.Sprint(2*keptSegments - 1)})
}
