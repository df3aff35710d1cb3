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

// Keys of the journal. The head sorts before the segments, so a range reads it first.
const (
	journalPrefix = "fulmardrum/journal/"
	headKey       = journalPrefix + "head"
	segmentPrefix = journalPrefix + "segment/"
)

const (
	// compactionThreshold is the number of segments from which on the live records of the
	// oldest segment are rewritten.
	compactionThreshold = 128
	// maxCompactedRecords is the most records of the oldest segment that one append rewrites.
	maxCompactedRecords = 24
	// maxDeletedSegments is the most segments that one append deletes.
	maxDeletedSegments = 24
	// minHedgeDelay is the minimum delay before a hedged attempt of an append.
	minHedgeDelay = 60 * fulmarclock.Millis(1)
	// maxAppendAttempts is the most hedged attempts of an append, the first included.
	maxAppendAttempts = 4
	// retryDelay is the delay before a failed call is retried.
	retryDelay = 40 * fulmarclock.Millis(1)
	// pageTimeout is the timeout of the read of one page of the journal.
	pageTimeout = 2500 * fulmarclock.Millis(1)
	// appendTimeout is the timeout of one append with its hedged attempts.
	appendTimeout = 1200 * fulmarclock.Millis(1)
)

// Record is one version of the state of a key. A newer record of the same key replaces it.
type Record struct {
	Key string `json:"k"`
	// Value is JSON; a record without a value deletes the key.
	Value json.RawMessage `json:"v,omitempty"`
}

// segment is the index of one stored append.
type segment struct {
	sequence int64
	// keys are the keys of the records that the segment has a value for.
	keys []string
	// live is the number of records that no newer segment replaces.
	live int
}

// Journal is the owner's log of records in the store. It is not safe for concurrent use.
type Journal struct {
	store     Store
	clock     fulmarclock.Clock
	ownership *Ownership
	// head is the revision of the head key, sequence the sequence number of the newest segment.
	head     int64
	sequence int64
	segments []*segment
	// latest is the segment with the newest record of each key.
	latest  map[string]*segment
	onRetry func(error)
	encoder segmentEncoder
	latency *fulmarhedge.LatencyTracker
}

// Open reads the journal that all owners so far have written and returns its live
// records in no particular order. onRetry is called with the error of each failed call
// that is retried, here and in Append.
func Open(ctx context.Context, store Store, clock fulmarclock.Clock, ownership *Ownership, onRetry func(error)) (*Journal, []Record, error) {
	j := &Journal{store: store, clock: clock, ownership: ownership, latest: map[string]*segment{}, onRetry: onRetry, latency: fulmarhedge.NewLatencyTracker(minHedgeDelay, appendTimeout/2, maxAppendAttempts)}
	values := map[string]json.RawMessage{}
	after := ""
	for {
		page, err := j.readPage(ctx, after)
		if err != nil {
			return nil, nil, err
		}
		for _, i := range page.Items {
			if err := j.readItem(i, values); err != nil {
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

// readPage reads the page after a key and retries until ctx is done, because a response may be lost.
func (j *Journal) readPage(ctx context.Context, after string) (Page, error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, pageTimeout.Duration())
		page, err := j.store.Range(callCtx, journalPrefix, after)
		cancel()
		if err == nil || ctx.Err() != nil {
			return page, err
		}
		j.onRetry(err)
		select {
		case <-ctx.Done():
			return page, err
		case <-j.clock.After(retryDelay):
		}
	}
}

// readItem applies the head or a segment to j, and a segment's records to values. A key that names
// neither is of another writer and holds none of the owners' records.
func (j *Journal) readItem(i Item, values map[string]json.RawMessage) error {
	if i.Key == headKey {
		j.head = i.Revision
		sequence, err := strconv.ParseInt(string(i.Value), 10, 64)
		if err != nil {
			return &fulmarjob.FormatError{What: headKey, Cause: err}
		}
		j.sequence = sequence
		return nil
	}
	sequence, found := parseSegmentKey(i.Key)
	if !found {
		return nil
	}
	records, err := decodeSegment(i.Key, i.Value)
	if err != nil {
		return err
	}
	j.indexSegment(sequence, records)
	for _, r := range records {
		if r.Value == nil {
			delete(values, r.Key)
			continue
		}
		values[r.Key] = r.Value
	}
	return nil
}

// indexSegment adds a segment to the index and counts the older records it replaces as dead.
func (j *Journal) indexSegment(sequence int64, records []Record) {
	s := &segment{sequence: sequence}
	j.segments = append(j.segments, s)
	for _, r := range records {
		if older := j.latest[r.Key]; older != nil {
			older.live--
		}
		if r.Value == nil {
			delete(j.latest, r.Key)
			continue
		}
		s.keys = append(s.keys, r.Key)
		s.live++
		j.latest[r.Key] = s
	}
}

// Revision returns the revision of the newest append of this ownership, or that of the ownership itself
// before the first one. It is below the revision of any later ownership.
func (j *Journal) Revision() int64 { return max(j.head, j.ownership.revision) }

// CompactionKeys returns the keys whose records the next append should repeat, so that
// the oldest segment can be deleted afterwards.
func (j *Journal) CompactionKeys() []string {
	if len(j.segments) < compactionThreshold {
		return nil
	}
	var keys []string
	oldest := j.segments[0]
	for _, k := range oldest.keys {
		if j.latest[k] == oldest && len(keys) < maxCompactedRecords {
			keys = append(keys, k)
		}
	}
	return keys
}

// Append adds records atomically and returns once they are stored. It retries through
// outages of the store until ctx is done or the ownership is lost. It fails if the store rejects
// them, for example because they are too large.
func (j *Journal) Append(ctx context.Context, records []Record) error {
	value, err := j.encoder.encode(records)
	if err != nil {
		return err
	}
	sequence := j.sequence + 1
	j.indexSegment(sequence, records)
	deleted := j.deadSegments()
	t := j.appendTransaction(sequence, value, deleted)
	for {
		revision, err := j.commitAppend(ctx, t, sequence)
		if err == nil {
			j.head, j.sequence = revision, sequence
			j.segments = j.segments[len(deleted):]
			return nil
		}
		var lost *OwnershipLostError
		if errors.As(err, &lost) || isRejected(err) || ctx.Err() != nil {
			return err
		}
		j.onRetry(err)
		select {
		case <-ctx.Done():
			return &OwnershipLostError{Cause: "the member is shutting down"}
		case <-j.clock.After(retryDelay):
		}
	}
}

// deadSegments returns the keys of the oldest segments that have no live record. The
// newest segment is never among them.
func (j *Journal) deadSegments() []string {
	var keys []string
	for i := 0; i < len(j.segments)-1 && i < maxDeletedSegments && j.segments[i].live == 0; i++ {
		keys = append(keys, segmentKey(j.segments[i].sequence))
	}
	return keys
}

func segmentKey(sequence int64) string { return fmt.Sprintf("%s%012d", segmentPrefix, sequence) }

// parseSegmentKey returns the sequence number of a segment, or false if segmentKey returns another
// key for each number.
func parseSegmentKey(key string) (int64, bool) {
	sequence, err := strconv.ParseInt(strings.TrimPrefix(key, segmentPrefix), 10, 64)
	return sequence, err == nil && sequence > 0 && segmentKey(sequence) == key
}

func (j *Journal) appendTransaction(sequence int64, value []byte, deleted []string) Transaction {
	return Transaction{
		Conditions: []Condition{{Key: OwnerKey, Revision: j.ownership.revision}, {Key: headKey, Revision: j.head}},
		Puts: []Put{
			{Key: headKey, Value: []byte(strconv.FormatInt(sequence, 10))},
			{Key: segmentKey(sequence), Value: value},
		},
		Deletes: deleted,
	}
}

// isRejected reports whether the store will never execute a call.
func isRejected(err error) bool {
	var rejected *fulmarjob.RejectedError
	return isOutcomeKnown(0, err) && errors.As(err, &rejected)
}

// isOutcomeKnown reports whether the store has responded, even with a conflict.
func isOutcomeKnown(_ int64, err error) bool {
	var unknown *fulmarjob.UnknownOutcomeError
	return !errors.As(err, &unknown)
}

// commitAppend sends the transaction with hedged attempts and returns the new revision
// of the head. A conflict on the head alone, with this append's sequence number in it,
// means that an earlier attempt was applied.
func (j *Journal) commitAppend(ctx context.Context, t Transaction, sequence int64) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
	defer cancel()
	started := j.clock.Now()
	revision, err := fulmarhedge.Do(callCtx, j.clock, j.latency.Plan(), func(attemptCtx context.Context) (int64, error) {
		return j.store.Commit(attemptCtx, t)
	}, isOutcomeKnown)
	if err == nil {
		j.latency.Observe(j.clock.Now() - started)
	}
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return revision, err
	}
	if conflict.current(OwnerKey).Revision != j.ownership.revision {
		return 0, &OwnershipLostError{Cause: "the ownership key has changed"}
	}
	head := conflict.current(headKey)
	if string(head.Value) != strconv.FormatInt(sequence, 10) {
		return 0, &OwnershipLostError{Cause: "another owner has appended; the journal's head has sequence " + string(head.Value)}
	}
	return head.Revision, nil
}
