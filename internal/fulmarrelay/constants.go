package fulmarrelay

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

const (
	// batchDelay is how long a command or result waits for others to share its message.
	batchDelay = 6 * fulmarclock.Millis(1)
	// maxBatchSize bounds the commands or results in one message.
	maxBatchSize = 256
	// maxQueuedCommands bounds the commands that wait to be sent to one agent; further ones
	// bypass the relay and go to the executors directly.
	maxQueuedCommands = 4096
	// heartbeatInterval is the time between empty messages on an otherwise idle stream.
	heartbeatInterval = fulmarclock.Second
	// heartbeatTimeout ends a stream on which no message has arrived for this long.
	heartbeatTimeout = 3 * fulmarclock.Second
	// attachRetryDelay is the wait before an agent whose stream has ended attaches again.
	attachRetryDelay = 250 * fulmarclock.Millis(1)
	// maxErrorTextBytes bounds the error text in a result.
	maxErrorTextBytes = 512
	// maxAnswerBytes bounds one result, and maxBatchBytes the commands or results that a message
	// has before another is added. Both together stay below the 4 MB that gRPC receives.
	maxAnswerBytes = 1 << 20
	maxBatchBytes  = 2 << 20
	// executorsPerCore is how many executors one processor core can serve with direct calls.
	executorsPerCore = 125.0
)
