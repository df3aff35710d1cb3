package fulmarapi_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// TestFailedRequestsTellWhetherTheyMayHaveBeenExecuted plays responses that don't tell the
// outcome. A change may then have been committed; a read is merely unavailable.
func TestFailedRequestsTellWhetherTheyMayHaveBeenExecuted(t *testing.T) {
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	for _, tc := range []struct {
		name    string
		handler http.HandlerFunc
		// change and read are the expected kinds of error of Apply and Status.
		change, read string
	}{
		{"response lost", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "unknown", "unavailable"},
		{"response cut short", respond(http.StatusOK, `{"generation":`), "unknown", "unavailable"},
		{"error of a proxy", respond(http.StatusBadGateway, "bad gateway"), "unknown", "unavailable"},
		{"error without a kind", respond(http.StatusServiceUnavailable, `{}`), "unknown", "unavailable"},
		{"refused by a proxy", respond(http.StatusForbidden, "no"), "unavailable", "unavailable"},
		{"refused by the member", respond(http.StatusConflict, `{"kind":"old-generation"}`), "old-generation", "old-generation"},
		{"member without the platform", respond(http.StatusServiceUnavailable, `{"kind":"unavailable"}`), "unavailable", "unavailable"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(tc.handler)
			defer server.Close()
			client := fulmarapi.NewClient(server.URL, "")
			_, err := client.Apply(context.Background(), fulmarapi.ConfigRequest{})
			qt.Check(t, kindOf(err), qt.Equals, tc.change)
			_, err = client.Status(context.Background())
			qt.Check(t, kindOf(err), qt.Equals, tc.read)
		})
	}
}

func TestChangeOfUnreachableMemberWasNotExecuted(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := fulmarapi.NewClient(server.URL, "").Apply(context.Background(), fulmarapi.ConfigRequest{})
	qt.Assert(t, kindOf(err), qt.Equals, "unavailable")
}

// kindOf returns the kind of an OperatorError, empty for another error.
func kindOf(err error) string {
	var operatorError *fulmarapi.OperatorError
	if !errors.As(err, &operatorError) {
		return ""
	}
	return operatorError.Kind
}
