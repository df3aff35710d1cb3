// Package fulmarfront serves callers: it finds the queue of a request, hands the
// request to the owner of the scheduler, wherever that is, and answers truthfully.
//
// Usage:
//
//	front := fulmarfront.New(options)
//	server := &http.Server{Handler: front.Handler()}
//	fulmarfrontpb.RegisterOwnerServer(grpcServer, fulmarfront.NewAsker(candidate))
//
// A refusal with status 429 or 503 is only given when the job was certainly not
// taken in; when that is not known the answer is 504.
package fulmarfront
