// Package fulmarfollow reports the changes of a key prefix in the platform's store. It
// reads the range once and then long-polls for changes; it recovers from broken watches,
// unresponsive connections and compacted history.
//
// Usage:
//
//	follower := fulmarfollow.New(options)
//	follower.Run(ctx)  // calls options.OnChange for each key that is created, changed or deleted
//	follower.Refresh() // reads the range at once, when a change is known to be missing
//
// A key counts as deleted when a watch reports it, or when it is missing from a later
// read of the range.
package fulmarfollow

import (
	"context"
	"errors"
	"strings"
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
)

const (
	// longPollWait is how long the store holds a watch without changes before it responds.
	longPollWait = 1800 * fulmarclock.Millis(1)
	// responseGrace is added to longPollWait for the timeout of a watch.
	responseGrace = 500 * fulmarclock.Millis(1)
	// rangeTimeout is the timeout of the read of one page.
	rangeTimeout = 1500 * fulmarclock.Millis(1)
	// retryDelay is the delay before a failed call is retried.
	retryDelay = 150 * fulmarclock.Millis(1)
)

// Store is the part of the platform's store that a follower uses.
type Store interface {
	Range(ctx context.Context, prefix, after string) (fulmarledger.Page, error)
	Watch(ctx context.Context, prefix string, after int64, wait fulmarclock.Millis) (fulmarledger.Page, error)
}

// Options configure a follower.
type Options struct {
	Store  Store
	Clock  fulmarclock.Clock
	Prefix string
	// WatchInterval is the delay between two watches, so that one watch returns several changes.
	WatchInterval fulmarclock.Millis
	// OnChange is called for each change, in order, by the goroutine of Run.
	OnChange func(fulmarledger.Item)
	// OnSync is called after all changes of a read or a watch have been passed to OnChange.
	OnSync func()
	// OnError is called at the first of consecutive failures, OnRecovery at the next success.
	OnError    func(error)
	OnRecovery func()
}

// Follower follows the keys of one prefix.
type Follower struct {
	options Options
	// revisions holds the newest revision of each existing key.
	revisions map[string]int64
	// revision is the revision after which the next watch returns changes.
	revision int64
	// synced is false until the range has been read, and after a compaction or a malformed response.
	synced bool
	// failing is true after a failed call until the next success.
	failing bool

	mu sync.Mutex
	// refreshing means that the range is to be read again; cancelWatch ends the watch in progress.
	refreshing  bool
	cancelWatch context.CancelFunc
}

// New returns a follower that does nothing until Run.
func New(o Options) *Follower { return &Follower{options: o, revisions: map[string]int64{}} }

// Refresh reads the range again without waiting for the watch in progress. A watch may return nothing for
// seconds although keys change.
func (f *Follower) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshing = true
	if f.cancelWatch != nil {
		f.cancelWatch()
	}
}

// watchContext returns the context of a watch, which Refresh cancels.
func (f *Follower) watchContext(ctx context.Context) (context.Context, context.CancelFunc) {
	watchCtx, cancel := context.WithTimeout(ctx, (longPollWait + responseGrace).Duration())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWatch = cancel
	if f.refreshing {
		cancel()
	}
	return watchCtx, cancel
}

// takeRefresh reports whether Refresh has been called since the last call.
func (f *Follower) takeRefresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	refreshing := f.refreshing
	f.refreshing = false
	return refreshing
}

// Run follows the prefix until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.syncOnce(ctx)
		delay := f.options.WatchInterval
		if err != nil && ctx.Err() == nil {
			delay = f.handleError(err)
		} else if f.failing {
			f.failing = false
			f.options.OnRecovery()
		}
		select {
		case <-ctx.Done():
		case <-f.options.Clock.After(delay):
		}
	}
}

// handleError returns the delay before the next attempt. Compacted history is no failure:
// it needs a new read of the range. So does a response that can't be decoded, for example
// because it has more changes than a response may have bytes: the same watch would return it again.
func (f *Follower) handleError(err error) fulmarclock.Millis {
	var compacted *fulmarjob.CompactedError
	if errors.As(err, &compacted) {
		f.synced = false
		return 0
	}
	var malformed *fulmarjob.FormatError
	if errors.As(err, &malformed) {
		f.synced = false
	}
	if !f.failing {
		f.failing = true
		f.options.OnError(err)
	}
	return retryDelay
}

// syncOnce reads the range, or watches once if the range has been read.
func (f *Follower) syncOnce(ctx context.Context) error {
	if !f.synced {
		f.takeRefresh()
		return f.readRange(ctx)
	}
	callCtx, cancel := f.watchContext(ctx)
	defer cancel()
	page, err := f.options.Store.Watch(callCtx, f.options.Prefix, f.revision, longPollWait)
	if f.takeRefresh() {
		f.synced = false
		return nil
	}
	if err != nil {
		return err
	}
	for _, i := range page.Items {
		f.apply(i)
	}
	f.revision = max(f.revision, page.Revision)
	f.options.OnSync()
	return nil
}

// readRange applies the whole range. The watch continues from the revision of the first
// page, because the pages are not one snapshot.
func (f *Follower) readRange(ctx context.Context) error {
	present := map[string]bool{}
	after := ""
	first := int64(0)
	for {
		page, err := f.readPage(ctx, after)
		if err != nil {
			return err
		}
		if first == 0 {
			first = page.Revision
		}
		for _, i := range page.Items {
			present[i.Key] = true
			after = i.Key
			f.apply(i)
		}
		if !page.More {
			break
		}
	}
	for key := range f.revisions {
		if !present[key] {
			f.apply(fulmarledger.Item{Key: key, Revision: first, Deleted: true})
		}
	}
	f.revision, f.synced = first, true
	f.options.OnSync()
	return nil
}

func (f *Follower) readPage(ctx context.Context, after string) (fulmarledger.Page, error) {
	callCtx, cancel := context.WithTimeout(ctx, rangeTimeout.Duration())
	defer cancel()
	return f.options.Store.Range(callCtx, f.options.Prefix, after)
}

// apply passes an item to OnChange unless the same or a newer revision of the key was
// passed before. Deletions are always passed. A key without the prefix is not: callers rely on it.
func (f *Follower) apply(i fulmarledger.Item) {
	if !strings.HasPrefix(i.Key, f.options.Prefix) {
		return
	}
	if i.Revision <= f.revisions[i.Key] && !i.Deleted {
		return
	}
	if i.Deleted {
		delete(f.revisions, i.Key)
	} else {
		f.revisions[i.Key] = i.Revision
	}
	f.options.OnChange(i)
}
