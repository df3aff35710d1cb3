// Package fulmarfollow keeps a copy of a part of the platform's store: it reads
// the range once and then follows its changes, through cut watches, silent
// connections and forgotten history.
//
// Usage:
//
//	follower := fulmarfollow.New(options)
//	follower.Run(ctx)  // calls options.Changed for each key that is new, changed or gone
//
// A key is gone when a watch says so, or when a later read of the range lacks it.
package fulmarfollow

import (
	"context"
	"errors"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
)

const (
	// watchWait is how long a watch waits for news.
	watchWait = 1800 * fulmarclock.Millis(1)
	// answerSlack is added to the wait before a silent watch is given up.
	answerSlack = 500 * fulmarclock.Millis(1)
	// rangeLimit bounds the read of one page.
	rangeLimit = 1500 * fulmarclock.Millis(1)
	// retryPause is the wait after a failed call.
	retryPause = 150 * fulmarclock.Millis(1)
)

// Store is what a follower needs of the platform's store.
type Store interface {
	Range(ctx context.Context, prefix, after string) (fulmarledger.Page, error)
	Watch(ctx context.Context, prefix string, after int64, wait fulmarclock.Millis) (fulmarledger.Page, error)
}

// Options are the parts of a follower.
type Options struct {
	Store  Store
	Clock  fulmarclock.Clock
	Prefix string
	// Pause passes between two watches, so that changes are fetched together.
	Pause fulmarclock.Millis
	// Changed is called for each change, in order, by one goroutine.
	Changed func(fulmarledger.Item)
	// Synced is called when all changes up to now have been handed over.
	Synced func()
	// Failed is called at the first failure of a series, Regained after it.
	Failed   func(error)
	Regained func()
}

// Follower follows one prefix.
type Follower struct {
	options  Options
	known    map[string]int64
	revision int64
	synced   bool
	failing  bool
}

// New returns a follower that knows nothing yet.
func New(o Options) *Follower { return &Follower{options: o, known: map[string]int64{}} }

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		pause := f.options.Pause
		if err != nil && ctx.Err() == nil {
			pause = f.fail(err)
		} else if f.failing {
			f.failing = false
			f.options.Regained()
		}
		select {
		case <-ctx.Done():
		case <-f.options.Clock.After(pause):
		}
	}
}

func (f *Follower) fail(err error) fulmarclock.Millis {
	var forgotten *fulmarjob.ForgottenError
	if errors.As(err, &forgotten) {
		f.synced = false
		return 0
	}
	if !f.failing {
		f.failing = true
		f.options.Failed(err)
	}
	return retryPause
}

func (f *Follower) step(ctx context.Context) error {
	if !f.synced {
		return f.read(ctx)
	}
	limited, cancel := context.WithTimeout(ctx, (watchWait + answerSlack).Duration())
	defer cancel()
	page, err := f.options.Store.Watch(limited, f.options.Prefix, f.revision, watchWait)
	if err != nil {
		return err
	}
	for _, i := range page.Items {
		f.take(i)
	}
	f.revision = max(f.revision, page.Revision)
	f.options.Synced()
	return nil
}

// read takes the whole range; the watch goes on from the first page's revision, as pages are not a snapshot.
func (f *Follower) read(ctx context.Context) error {
	present := map[string]bool{}
	after := ""
	first := int64(0)
	for {
		page, err := f.page(ctx, after)
		if err != nil {
			return err
		}
		if first == 0 {
			first = page.Revision
		}
		for _, i := range page.Items {
			present[i.Key] = true
			after = i.Key
			f.take(i)
		}
		if !page.More {
			break
		}
	}
	for key := range f.known {
		if !present[key] {
			f.take(fulmarledger.Item{Key: key, Revision: first, Removed: true})
		}
	}
	f.revision, f.synced = first, true
	f.options.Synced()
	return nil
}

func (f *Follower) page(ctx context.Context, after string) (fulmarledger.Page, error) {
	limited, cancel := context.WithTimeout(ctx, rangeLimit.Duration())
	defer cancel()
	return f.options.Store.Range(limited, f.options.Prefix, after)
}

func (f *Follower) take(i fulmarledger.Item) {
	if i.Revision <= f.known[i.Key] && !i.Removed {
		return
	}
	if i.Removed {
		delete(f.known, i.Key)
	} else {
		f.known[i.Key] = i.Revision
	}
	f.options.Changed(i)
}
