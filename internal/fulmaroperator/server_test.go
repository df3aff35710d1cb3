package fulmaroperator_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmaroperator"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// TestApplyRejectsBadRequests sends requests that must be rejected before the store is called;
// there is none in this test.
func TestApplyRejectsBadRequests(t *testing.T) {
	const megabyte = 1 << 20
	for _, tc := range []struct {
		name, token, body string
		status            int
		kind, detail      string
	}{
		{"no JSON", "secret", "pools", http.StatusBadRequest, "bad-request", "invalid character"},
		{"empty", "secret", "", http.StatusBadRequest, "bad-request", "EOF"},
		{"larger than the limit", "secret", `{"text":"` + strings.Repeat("x", megabyte) + `"}`, http.StatusRequestEntityTooLarge, "bad-request", "larger than 524288 bytes"},
		{"document with an unknown field", "secret", `{"text":"{\"pool\":{}}","author":"a","reason":"r"}`, http.StatusUnprocessableEntity, "bad-document", "pool"},
		{"no reason", "secret", `{"text":"{\"pools\":{\"p\":{\"vms\":1}}}","author":"a"}`, http.StatusBadRequest, "bad-request", "author and reason"},
		{"wrong token", "secreT", "{}", http.StatusUnauthorized, "unauthorized", "bearer token"},
		{"no token", "", "{}", http.StatusUnauthorized, "unauthorized", "bearer token"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server := fulmaroperator.NewServer(fulmaroperator.Options{
				Clock: fulmarclock.NewManual(0), Metrics: http.NotFoundHandler(), Token: "secret",
			})
			request := httptest.NewRequest(http.MethodPut, "/v1/config", strings.NewReader(tc.body))
			request.Header.Set("Authorization", "Bearer "+tc.token)
			recorder := httptest.NewRecorder()
			server.Handler().ServeHTTP(recorder, request)
			qt.Assert(t, recorder.Code, qt.Equals, tc.status)
			var operatorError fulmarapi.OperatorError
			qt.Assert(t, json.Unmarshal(recorder.Body.Bytes(), &operatorError), qt.IsNil)
			qt.Check(t, operatorError.Kind, qt.Equals, tc.kind)
			qt.Check(t, operatorError.Detail, qt.Contains, tc.detail)
		})
	}
}
