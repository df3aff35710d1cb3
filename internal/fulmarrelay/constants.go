package fulmarrelay

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

const (
	// batchDelay is how long orders, and answers, wait for others to travel with.
	batchDelay = 6 * fulmarclock.Millis(1)
	// maxBatchSize bounds the orders of one message.
	maxBatchSize = 256
	// maxQueuedCommands bounds the orders that wait for their message; further ones go to the executors directly.
	maxQueuedCommands = 4096
	// heartbeatInterval is the time between two messages on a stream that carries nothing else.
	heartbeatInterval = fulmarclock.Second
	// heartbeatTimeout ends a stream on which nothing has come for so long.
	heartbeatTimeout = 3 * fulmarclock.Second
	// attachRetryDelay is the wait before a member attaches again.
	attachRetryDelay = 250 * fulmarclock.Millis(1)
	// executorsPerCore is how many executors a whole core carries by itself.
	executorsPerCore = 125.0
)
