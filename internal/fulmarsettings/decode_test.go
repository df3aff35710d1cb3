package fulmarsettings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarsettings"
)

func TestInvalidSettingsReportLineAndField(t *testing.T) {
	cases := []struct {
		name, text, field string
		line              int
	}{
		{"unknown field", "{\n  \"member\": \"m\",\n  \"memberr\": 1\n}", "memberr", 3},
		{"unknown nested field", "{\n  \"times\": {\n    \"leese\": 1}}", "leese", 3},
		{"wrong type", "{\n\n  \"member\": 7}", "member", 3},
		{"repeated field", "{\n  \"member\": \"a\",\n  \"member\": \"b\"}", "member", 3},
		{"syntax", "{\n  \"member\": }", "", 2},
		{"text after the document", "{}\n{}", "", 2},
		{"empty member", "{\n // the name\n \"member\": \"\"}", "member", 3},
		{"address without port", "{\n\"callers\": \"10.0.0.1\"}", "callers", 2},
		{"platform without host", "{\n\"platform\": \"10.0.0.1:7000\"}", "platform", 2},
		{"zero duration", "{\"times\": {\n\"digest\": 0}}", "times.digest", 2},
		{"negative size", "{\"limits\": {\n\"body_bytes\": -1}}", "limits.body_bytes", 2},
		{"buffer greater than the total", "{\"limits\": {\n\n\"buffered_body_bytes\": 999999999}}", "limits.buffered_body_bytes", 3},
		{"lease too short for the digest interval", "{\"times\": {\"digest\": 1000,\n\"lease\": 1000}}", "times.lease", 2},
		{"fencing timeout too short for the VM list interval", "{\"times\": {\n\"fence\": 1500}}", "times.fence", 2},
		{"unknown policy", "{\n\"policy\": \"best\"}", "policy", 2},
		{"unknown sharing", "{\n\"sharing\": \"none\"}", "sharing", 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			path := filepath.Join(t.TempDir(), "member.jsonc")
			c.Assert(os.WriteFile(path, []byte(tc.text), 0o600), qt.IsNil)
			_, err := fulmarsettings.LoadDaemon(path)
			var fieldError *fulmarsettings.FieldError
			c.Assert(errors.As(err, &fieldError), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(fieldError.Field(), qt.Equals, tc.field, qt.Commentf("%v", err))
			c.Assert(fieldError.Line(), qt.Equals, tc.line, qt.Commentf("%v", err))
			c.Assert(strings.Contains(err.Error(), path), qt.IsTrue)
		})
	}
}

func TestExampleSettingsAreAccepted(t *testing.T) {
	_, err := fulmarsettings.LoadDaemon("../../examples/member.jsonc")
	qt.Assert(t, err, qt.IsNil)
}

// FuzzDecode guards against panics: Decode and Validate must return for any input.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{`{}`, `{"member": "m", /* c */ "times": {"lease": 6000,},}`, `{"a": [1, {"b": 2}]}`, `{"member": "\ud800"}`, `[`, ``} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		settings := fulmarsettings.DefaultDaemon()
		positions, err := fulmarsettings.Decode("fuzz", data, &settings)
		if err != nil {
			return
		}
		_ = settings.Validate("fuzz", positions)
	})
}
