package fulmarclaim

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"sync"

	"github.com/google/uuid"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
	"github.com/fulmardrum/fulmardrum/internal/fulmarring"
)

const (
	digestBytes = 16
	ringSize    = 2048
	batchMost   = 512
	// conflictsMost bounds the rounds of one batch against other members' writes.
	conflictsMost = 50
	// settleTime bounds the rounds of one batch, in milliseconds.
	settleTime = 5 * fulmarclock.Second
)

// Verdict is what became of a claim or a release.
type Verdict int

// Verdicts.
const (
	// Unavailable: the service gave no settled answer.
	Unavailable Verdict = iota
	// Granted: the claim is this attempt's own.
	Granted
	// Duplicate: another attempt holds the key; it may have run.
	Duplicate
	// Full: the bucket takes no more claims until old ones are forgotten.
	Full
	// Released: the key is free again.
	Released
)

var verdictNames = [...]string{"unavailable", "granted", "duplicate", "full", "released"}

// String returns the verdict's name in counters.
func (v Verdict) String() string { return verdictNames[v] }

// Key is the digest of an idempotency key with its pool and team.
type Key struct {
	text  string
	place uint16
}

// NewKey returns the digest of a key; the same key of another pool or team is another key.
func NewKey(pool, team, key string) Key {
	hash := sha256.New()
	for _, part := range []string{pool, team, key} {
		hash.Write([]byte{byte(len(part) >> 8), byte(len(part))})
		hash.Write([]byte(part))
	}
	sum := hash.Sum(nil)
	return Key{
		text:  base64.RawURLEncoding.EncodeToString(sum[:digestBytes]),
		place: uint16(sum[digestBytes])<<8 | uint16(sum[digestBytes+1]),
	}
}

// Options bound a claimer.
type Options struct {
	Buckets   int
	PerBucket int
	// Kept is how long a claim is remembered.
	Kept fulmarclock.Millis
	// Batch is how long claims are gathered before a write.
	Batch fulmarclock.Millis
}

// Claim is a key held by one attempt.
type Claim struct {
	key     Key
	id      string
	clock   fulmarclock.Clock
	expires fulmarclock.Millis
}

// MayDispatch tells whether the claim is young enough that no repeat can have
// been granted: a member that was paused for long must not use it.
func (c *Claim) MayDispatch() bool { return c.clock.Now() < c.expires }

// operation is one claim or release on its way through a bucket.
type operation struct {
	key     string
	record  record
	release bool
	verdict Verdict
	done    chan Verdict
}

// Claimer claims keys for one member. It has a goroutine for each bucket.
type Claimer struct {
	store   fulmarplatform.Store
	clock   fulmarclock.Clock
	options Options
	rings   []*fulmarring.Ring[*operation]
	// running ends with Close.
	running context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
}

// NewClaimer returns a claimer at work.
func NewClaimer(store fulmarplatform.Store, clock fulmarclock.Clock, options Options) *Claimer {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claimer{store: store, clock: clock, options: options, running: ctx, cancel: cancel}
	for place := range options.Buckets {
		ring := fulmarring.New[*operation](ringSize)
		c.rings = append(c.rings, ring)
		w := &writer{claimer: c, place: place, ring: ring}
		c.tasks.Add(1)
		go func() {
			defer c.tasks.Done()
			w.run(ctx)
		}()
	}
	return c
}

// Close gives up what waits and waits for the goroutines.
func (c *Claimer) Close() {
	c.cancel()
	c.tasks.Wait()
}

// Claim tries to take a key for one attempt.
func (c *Claimer) Claim(ctx context.Context, key Key) (*Claim, Verdict) {
	start := c.clock.Now()
	claim := &Claim{key: key, id: uuid.NewString(), clock: c.clock, expires: start + c.options.Kept/2}
	o := &operation{
		key:    key.text,
		record: record{ID: claim.id, Until: c.clock.Unix() + int64(c.options.Kept)},
		done:   make(chan Verdict, 1),
	}
	verdict := c.submit(ctx, key, o)
	if verdict == Unavailable {
		c.releaseLate(claim, o)
	}
	return claim, verdict
}

// releaseLate frees a key that is granted after its caller has stopped waiting.
func (c *Claimer) releaseLate(claim *Claim, o *operation) {
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		select {
		case verdict := <-o.done:
			if verdict == Granted {
				c.Release(c.running, claim)
			}
		case <-c.running.Done():
		}
	}()
}

// Release frees the key of a claim that was not used, and reports whether that is settled.
func (c *Claimer) Release(ctx context.Context, claim *Claim) bool {
	o := &operation{key: claim.key.text, record: record{ID: claim.id}, release: true, done: make(chan Verdict, 1)}
	return c.submit(ctx, claim.key, o) == Released
}

func (c *Claimer) submit(ctx context.Context, key Key, o *operation) Verdict {
	ring := c.rings[int(key.place)%len(c.rings)]
	if !ring.Offer(o) {
		o.done <- Unavailable
	}
	select {
	case verdict := <-o.done:
		return verdict
	case <-ctx.Done():
		return Unavailable
	}
}

// writer carries out the operations of one bucket.
type writer struct {
	claimer *Claimer
	place   int
	ring    *fulmarring.Ring[*operation]
	// entry is the bucket as last seen; its value may be old.
	entry fulmarplatform.Entry
}

func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			w.ring.Close()
			w.abandon()
			return
		case first := <-w.ring.Events():
			batch := w.gather(ctx, first)
			w.commit(ctx, batch)
			for _, o := range batch {
				o.done <- o.verdict
			}
		}
	}
}

func (w *writer) abandon() {
	for {
		select {
		case o := <-w.ring.Events():
			o.done <- Unavailable
		default:
			return
		}
	}
}

// gather waits for the batch time and returns what has come by then.
func (w *writer) gather(ctx context.Context, first *operation) []*operation {
	batch := []*operation{first}
	wait := w.claimer.clock.After(w.claimer.options.Batch)
	for len(batch) < batchMost {
		select {
		case o := <-w.ring.Events():
			batch = append(batch, o)
		case <-wait:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// commit writes a batch and sets its verdicts.
func (w *writer) commit(ctx context.Context, batch []*operation) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := w.claimer.clock.AfterFunc(settleTime, cancel)
	defer timer.Stop()
	for range conflictsMost {
		settled, err := w.round(ctx, batch)
		if settled {
			return
		}
		var conflict *fulmarplatform.ConflictError
		if !errors.As(err, &conflict) {
			break
		}
	}
	w.entry = fulmarplatform.Entry{}
	for _, o := range batch {
		o.verdict = Unavailable
	}
}

// round decides a batch on the bucket as last seen and writes the result. A
// batch that changes nothing is decided on a fresh read, as the last seen may be old.
func (w *writer) round(ctx context.Context, batch []*operation) (settled bool, err error) {
	key := bucketKey(w.place)
	decided, changed, err := w.decide(batch)
	if err != nil {
		return false, err
	}
	if !changed {
		return w.confirm(ctx, key, batch)
	}
	value, err := decided.encode()
	if err != nil {
		return false, err
	}
	entry, err := fulmarplatform.SwapSettled(ctx, w.claimer.clock, w.claimer.store, fulmarplatform.Swap{
		Key: key, Expected: w.entry.Revision, Value: value,
		Included: func(stored []byte) bool {
			b, err := decodeBucket(stored)
			return err == nil && b.holds(batch)
		},
	})
	if err == nil || entry.Revision != 0 {
		w.entry = entry
	}
	return err == nil, err
}

func (w *writer) decide(batch []*operation) (b bucket, changed bool, err error) {
	b, err = decodeBucket(w.entry.Value)
	if err != nil {
		return bucket{}, false, err
	}
	b.prune(w.claimer.clock.Unix())
	changed = b.apply(batch, w.claimer.options.PerBucket)
	return b, changed, nil
}

func (w *writer) confirm(ctx context.Context, key string, batch []*operation) (settled bool, err error) {
	entry, err := w.claimer.store.Get(ctx, key)
	if err != nil {
		return false, err
	}
	w.entry = entry
	_, changed, err := w.decide(batch)
	if err != nil {
		return false, err
	}
	if changed {
		return false, &fulmarplatform.ConflictError{Key: key, Current: entry.Revision}
	}
	return true, nil
}
