package fulmarplatform_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

type noCounter struct{}

func (noCounter) CountCall(string) {}

// writes are the calls that change something on the platform.
var writes = []struct {
	name string
	call func(ctx context.Context, c *fulmarplatform.Client) error
}{
	{"compare and swap", func(ctx context.Context, c *fulmarplatform.Client) error {
		_, err := c.CompareAndSwap(ctx, "k", 0, nil, "")
		return err
	}},
	{"grant", func(ctx context.Context, c *fulmarplatform.Client) error {
		_, err := c.Grant(ctx, 1000)
		return err
	}},
	{"renew", func(ctx context.Context, c *fulmarplatform.Client) error { return c.Renew(ctx, "l") }},
	{"revoke", func(ctx context.Context, c *fulmarplatform.Client) error { return c.Revoke(ctx, "l") }},
	{"register", func(ctx context.Context, c *fulmarplatform.Client) error {
		return c.Register(ctx, fulmarplatform.VM{ID: "vm"})
	}},
	{"drain", func(ctx context.Context, c *fulmarplatform.Client) error { return c.Drain(ctx, "vm") }},
	{"reboot", func(ctx context.Context, c *fulmarplatform.Client) error { return c.Reboot(ctx, "vm") }},
}

// TestWriteErrorsTellWhetherAnythingChanged plays a response that is lost after the call may
// have been carried out, a rejection, and a platform that can't be reached.
func TestWriteErrorsTellWhetherAnythingChanged(t *testing.T) {
	lostResponse := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer lostResponse.Close()
	rejection := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	defer rejection.Close()
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	for _, tc := range []struct {
		name, url string
		unknown   bool
	}{
		{"response lost", lostResponse.URL, true},
		{"rejected", rejection.URL, false},
		{"not reachable", closed.URL, false},
	} {
		client := fulmarplatform.NewClient(tc.url, 5*fulmarclock.Second, noCounter{})
		defer client.Close()
		for _, w := range writes {
			t.Run(tc.name+"/"+w.name, func(t *testing.T) {
				err := w.call(context.Background(), client)
				var unknown *fulmarplatform.UnknownOutcomeError
				var unavailable *fulmarplatform.UnavailableError
				qt.Check(t, errors.As(err, &unknown), qt.Equals, tc.unknown, qt.Commentf("%v", err))
				qt.Check(t, errors.As(err, &unavailable), qt.Equals, !tc.unknown, qt.Commentf("%v", err))
			})
		}
	}
}
