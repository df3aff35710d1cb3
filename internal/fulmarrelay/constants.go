package fulmarrelay

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

const (
	// gatherTime is how long orders, and answers, wait for others to travel with.
	gatherTime = 6 * fulmarclock.Millis(1)
	// messageOrders bounds the orders of one message.
	messageOrders = 256
	// waitingOrders bounds the orders that wait for their message; further ones go to the executors directly.
	waitingOrders = 4096
	// beatEvery is the time between two messages on a stream that carries nothing else.
	beatEvery = fulmarclock.Second
	// silenceLimit ends a stream on which nothing has come for so long.
	silenceLimit = 3 * fulmarclock.Second
	// attachRetry is the wait before a member attaches again.
	attachRetry = 250 * fulmarclock.Millis(1)
	// executorsPerCore is how many executors a whole core carries by itself.
	executorsPerCore = 125.0
)
