package fulmarfront

import (
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfront/fulmarfrontpb"
)

// ownerConnection is a connection to the owner, shared by all requests of this member.
type ownerConnection struct {
	address    string
	connection *grpc.ClientConn
	client     fulmarfrontpb.OwnerClient
	// respondedAt is when the latest response arrived.
	respondedAt atomic.Int64
}

// recordResponse records that a response has arrived.
func (c *ownerConnection) recordResponse(now fulmarclock.Millis) { c.respondedAt.Store(int64(now)) }

// isSilentSince reports whether no response has arrived since a time. A connection with
// responses belongs to an owner that is slow: closing it would only cancel the other
// requests on it, which the owner may answer in time.
func (c *ownerConnection) isSilentSince(sentAt fulmarclock.Millis) bool {
	return fulmarclock.Millis(c.respondedAt.Load()) < sentAt
}

// ownerConnections holds the connection to the current owner.
type ownerConnections struct {
	clock  fulmarclock.Clock
	logger *log.Logger

	mu      sync.Mutex
	current *ownerConnection
}

func newOwnerConnections(clock fulmarclock.Clock, logger *log.Logger) *ownerConnections {
	return &ownerConnections{clock: clock, logger: logger}
}

// connect returns the connection to an address. It replaces one to another address.
func (o *ownerConnections) connect(address string) (*ownerConnection, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.current != nil && o.current.address == address {
		return o.current, nil
	}
	o.closeCurrent()
	connection, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithStatsHandler(sentFlagHandler{}))
	if err != nil {
		return nil, err
	}
	o.current = &ownerConnection{address: address, connection: connection, client: fulmarfrontpb.NewOwnerClient(connection)}
	o.current.recordResponse(o.clock.Now())
	return o.current, nil
}

// replace closes a connection if it is the current one. The next request opens a new one.
func (o *ownerConnections) replace(connection *ownerConnection) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.current == connection {
		o.closeCurrent()
	}
}

// close closes the current connection.
func (o *ownerConnections) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closeCurrent()
}

func (o *ownerConnections) closeCurrent() {
	if o.current == nil {
		return
	}
	if err := o.current.connection.Close(); err != nil {
		o.logger.Warn("failed to close a connection to an owner; it is dropped", "address", o.current.address, "error", err)
	}
	o.current = nil
}
