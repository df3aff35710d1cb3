package fulmarledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarhedge"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// Keys of the journal. The head sorts before the segments.
const (
	journalPrefix = "fulmardrum/journal/"
	headKey       = journalPrefix + "head"
	segmentPrefix = journalPrefix + "segment/"
)

const (
	// keptSegments is how many segments stay before the oldest is written again.
	keptSegments = 128
	// movedRecords bounds the records of old segments that go into one append.
	movedRecords = 24
	// removedSegments bounds the segments that one append removes.
	removedSegments = 24
	// leastHedge is the shortest wait before an append is sent again beside the first copy.
	leastHedge = 60 * fulmarclock.Millis(1)
	mostHedges = 4
	// retryPause is the wait before an append that was not carried out is sent again.
	retryPause = 40 * fulmarclock.Millis(1)
	// pageLimit bounds the wait for one page of the journal.
	pageLimit = 2500 * fulmarclock.Millis(1)
	// appendLimit bounds the wait for one answer of the store.
	appendLimit = 1200 * fulmarclock.Millis(1)
)

// Record is the newest state of one thing that lasts; the newest record of a key holds.
type Record struct {
	Key string `json:"k"`
	// Value is JSON; without a value the thing is gone.
	Value json.RawMessage `json:"v,omitempty"`
}

type segment struct {
	sequence int64
	keys     []string
	live     int
}

// Journal is the owner's log in the store. It is not for concurrent use.
type Journal struct {
	store    Store
	clock    fulmarclock.Clock
	claim    *Claim
	head     int64
	sequence int64
	segments []*segment
	newest   map[string]*segment
	retries  func(error)
	encoder  segmentEncoder
	usual    *fulmarhedge.Usual
}

// Open reads the journal of all owners so far and returns the records that hold.
// retries is told of each attempt of an append that failed.
func Open(ctx context.Context, store Store, clock fulmarclock.Clock, claim *Claim, retries func(error)) (*Journal, []Record, error) {
	j := &Journal{store: store, clock: clock, claim: claim, newest: map[string]*segment{}, retries: retries, usual: fulmarhedge.NewUsual(leastHedge, appendLimit/2, mostHedges)}
	values := map[string]json.RawMessage{}
	after := ""
	for {
		page, err := j.readPage(ctx, after)
		if err != nil {
			return nil, nil, err
		}
		for _, i := range page.Items {
			if err := j.read(i, values); err != nil {
				return nil, nil, err
			}
			after = i.Key
		}
		if !page.More {
			break
		}
	}
	records := make([]Record, 0, len(values))
	for key, value := range values {
		records = append(records, Record{Key: key, Value: value})
	}
	return j, records, nil
}

// readPage reads a page again and again until ctx ends, as an answer may be lost.
func (j *Journal) readPage(ctx context.Context, after string) (Page, error) {
	for {
		limited, cancel := context.WithTimeout(ctx, pageLimit.Duration())
		page, err := j.store.Range(limited, journalPrefix, after)
		cancel()
		if err == nil || ctx.Err() != nil {
			return page, err
		}
		j.retries(err)
		select {
		case <-ctx.Done():
			return page, err
		case <-j.clock.After(retryPause):
		}
	}
}

func (j *Journal) read(i Item, values map[string]json.RawMessage) error {
	if i.Key == headKey {
		j.head = i.Revision
		sequence, err := strconv.ParseInt(string(i.Value), 10, 64)
		if err != nil {
			return &fulmarjob.FormatError{What: headKey, Cause: err}
		}
		j.sequence = sequence
		return nil
	}
	sequence, err := strconv.ParseInt(strings.TrimPrefix(i.Key, segmentPrefix), 10, 64)
	if err != nil {
		return &fulmarjob.FormatError{What: i.Key, Cause: err}
	}
	records, err := decodeSegment(i.Key, i.Value)
	if err != nil {
		return err
	}
	j.enter(sequence, records)
	for _, r := range records {
		if r.Value == nil {
			delete(values, r.Key)
			continue
		}
		values[r.Key] = r.Value
	}
	return nil
}

// enter notes a segment and which older records it replaces.
func (j *Journal) enter(sequence int64, records []Record) {
	s := &segment{sequence: sequence}
	j.segments = append(j.segments, s)
	for _, r := range records {
		if older := j.newest[r.Key]; older != nil {
			older.live--
		}
		if r.Value == nil {
			delete(j.newest, r.Key)
			continue
		}
		s.keys = append(s.keys, r.Key)
		s.live++
		j.newest[r.Key] = s
	}
}

// Due returns the keys whose records should be part of the next append, so that
// their old segment can go.
func (j *Journal) Due() []string {
	if len(j.segments) < keptSegments {
		return nil
	}
	var keys []string
	oldest := j.segments[0]
	for _, k := range oldest.keys {
		if j.newest[k] == oldest && len(keys) < movedRecords {
			keys = append(keys, k)
		}
	}
	return keys
}

// Append adds records, whole or not at all, and returns once they are stored. It
// goes on through outages of the store until ctx ends or the claim is lost.
func (j *Journal) Append(ctx context.Context, records []Record) error {
	value, err := j.encoder.encode(records)
	if err != nil {
		return err
	}
	sequence := j.sequence + 1
	j.enter(sequence, records)
	removed := j.emptySegments()
	t := j.transaction(sequence, value, removed)
	for {
		revision, err := j.attempt(ctx, t, sequence)
		if err == nil {
			j.head, j.sequence = revision, sequence
			j.segments = j.segments[len(removed):]
			return nil
		}
		var lost *LostError
		if errors.As(err, &lost) || ctx.Err() != nil {
			return err
		}
		j.retries(err)
		select {
		case <-ctx.Done():
			return &LostError{Cause: "the member stops"}
		case <-j.clock.After(retryPause):
		}
	}
}

// emptySegments returns the oldest segments without a record that holds, but not the newest.
func (j *Journal) emptySegments() []string {
	var keys []string
	for i := 0; i < len(j.segments)-1 && i < removedSegments && j.segments[i].live == 0; i++ {
		keys = append(keys, segmentKey(j.segments[i].sequence))
	}
	return keys
}

func segmentKey(sequence int64) string { return fmt.Sprintf("%s%012d", segmentPrefix, sequence) }

func (j *Journal) transaction(sequence int64, value []byte, removed []string) Transaction {
	return Transaction{
		Conditions: []Condition{{Key: OwnerKey, Revision: j.claim.revision}, {Key: headKey, Revision: j.head}},
		Puts: []Put{
			{Key: headKey, Value: []byte(strconv.FormatInt(sequence, 10))},
			{Key: segmentKey(sequence), Value: value},
		},
		Remove: removed,
	}
}

// isSettled tells whether the store has answered, be it with a conflict.
func isSettled(_ int64, err error) bool {
	var unknown *fulmarjob.UnknownError
	return !errors.As(err, &unknown)
}

// attempt sends the transaction, also beside a copy that is not answered. A conflict on the head alone, with this
// append's sequence in it, means that an earlier attempt was carried out.
func (j *Journal) attempt(ctx context.Context, t Transaction, sequence int64) (int64, error) {
	limited, cancel := context.WithTimeout(ctx, appendLimit.Duration())
	defer cancel()
	began := j.clock.Now()
	revision, err := fulmarhedge.Do(limited, j.clock, j.usual.Plan(), func(own context.Context) (int64, error) {
		return j.store.Commit(own, t)
	}, isSettled)
	if err == nil {
		j.usual.Note(j.clock.Now() - began)
	}
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return revision, err
	}
	if conflict.item(OwnerKey).Revision != j.claim.revision {
		return 0, &LostError{Cause: "the ownership key has changed"}
	}
	head := conflict.item(headKey)
	if string(head.Value) != strconv.FormatInt(sequence, 10) {
		return 0, &LostError{Cause: "the journal's head is at " + string(head.Value)}
	}
	return head.Revision, nil
}
