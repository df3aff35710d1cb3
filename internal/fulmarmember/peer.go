package fulmarmember

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfleet"
	"github.com/fulmardrum/fulmardrum/internal/fulmarmember/fulmarpeerpb"
)

const (
	// pingInterval is the time between pings on a silent connection between members.
	pingInterval = 10 * fulmarclock.Second
	// pingTimeout is how long a ping may stay unanswered.
	pingTimeout = 2 * fulmarclock.Second
)

// peer is the connection to another member.
type peer struct {
	connection *grpc.ClientConn
	client     fulmarpeerpb.PeersClient
	busy       bool
}

func (e *Exchange) acquirePeer(member fulmarfleet.Member) *peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, known := e.peers[member.Peers]
	if !known {
		connection, err := dialPeer(member.Peers)
		if err != nil {
			return nil
		}
		p = &peer{connection: connection, client: fulmarpeerpb.NewPeersClient(connection)}
		e.peers[member.Peers] = p
	}
	if p.busy {
		return nil
	}
	p.busy = true
	return p
}

func dialPeer(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: pingInterval.Duration(), Timeout: pingTimeout.Duration(),
		}))
}

func (e *Exchange) releasePeer(p *peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p.busy = false
}

func (e *Exchange) closeUnusedPeers(others []fulmarfleet.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	wanted := map[string]bool{}
	for _, member := range others {
		wanted[member.Peers] = true
	}
	for address, p := range e.peers {
		if !wanted[address] && !p.busy {
			_ = p.connection.Close()
			delete(e.peers, address)
		}
	}
}

func (e *Exchange) closePeers() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		_ = p.connection.Close()
	}
}
