package fulmarowner

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarfollow"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
)

// followExecutors returns a follower that reports the executors' entries as events.
func (t *term) followExecutors() *fulmarfollow.Follower {
	entries := t.options.ExecutorEntries
	prefix := entries.ExecutorPrefix()
	return fulmarfollow.New(fulmarfollow.Options{
		Store: t.options.Store, Clock: t.options.Clock, Prefix: prefix, WatchInterval: executorWatchInterval,
		OnChange: func(i fulmarledger.Item) {
			if i.Deleted {
				t.send(executorRemoved{i.Key[len(prefix):]})
				return
			}
			executor, err := entries.DecodeExecutor(i.Key, i.Value)
			if err != nil {
				t.options.Logger.Warn("executor entry is malformed; treating the executor as removed", "key", i.Key, "revision", i.Revision, "error", err)
				t.send(executorRemoved{i.Key[len(prefix):]})
				return
			}
			t.send(executorUpdated{executor})
		},
		OnSync:     func() {},
		OnError:    func(err error) { t.options.Logger.Warn("watching the executor entries failed; retrying", "error", err) },
		OnRecovery: func() { t.options.Logger.Info("watching the executor entries works again") },
	})
}
