// Package fulmarfront is the HTTP API for callers. It maps each request to a queue
// and forwards it to the owner of the scheduler, in this process or over gRPC on
// another member.
//
// Usage:
//
//	router := fulmarfront.NewRouter(candidate, clock, logger, metrics, peerAddress)
//	server := &http.Server{Handler: fulmarfront.New(options).Handler()}
//	fulmarfrontpb.RegisterOwnerServer(grpcServer, fulmarfront.NewOwnerService(candidate))
//
// A job submission fails with status 429 or 503 only if the job was certainly not
// accepted. If that is not known, the status is 504.
package fulmarfront
