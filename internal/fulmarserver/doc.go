// Package fulmarserver serves HTTP/1.1 to callers, stops without dropping a request that it
// has read, and reports every request that gets no response.
//
// Usage:
//
//	server := fulmarserver.New(fulmarserver.Options{Handler: handler, ReadHeaderTimeout: …})
//	err := server.Serve(listener)  // until Shutdown or Close
//	…
//	err = server.Shutdown(ctx)  // in another goroutine
//	server.Close()
package fulmarserver
