package fulmarconfig_test

import (
	"errors"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarconfig"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsettings"
)

func TestParseErrorsNameLineAndField(t *testing.T) {
	cases := []struct {
		name, text, field string
		line              int
	}{
		{"no pools", "{}", "pools", 1},
		{"pool without a name", "{\"pools\": {\"\": {}}}", "pools", 1},
		{"negative VMs", "{\"pools\": {\n\"a\": {\n\"vms\": -1}}}", "pools.a.vms", 3},
		{"no queue", "{\"pools\": {\"a\": {}},\n\"defaults\": {\n\"queue_requests\": 0}}", "defaults.queue_requests", 3},
		{"no attempt", "{\"pools\": {\"a\": {}},\n\"defaults\": {\"attempts\": 0}}", "defaults.attempts", 2},
		{"share above 1", "{\"pools\": {\"a\": {}},\n\"defaults\": {\"available_share\": 1.5}}", "defaults.available_share", 2},
		{"team share of 0", "{\"pools\": {\"a\": {}},\n\"defaults\": {\"team_share\": 0}}", "defaults.team_share", 2},
		{"team without weight", "{\"pools\": {\"a\": {}},\n\"teams\": {\n\"t\": {}}}", "teams.t.weight", 3},
		{"exception without reason", "{\"pools\": {\"a\": {}},\n\"exceptions\": [\n{\"pool\": \"a\"}]}", "exceptions.0.reason", 3},
		{"exception of no pool", "{\"pools\": {\"a\": {}},\n\"exceptions\": [{\"reason\": \"r\",\n\"pool\": \"b\"}]}", "exceptions.0.pool", 3},
		{"exception out of bounds", "{\"pools\": {\"a\": {}},\n\"exceptions\": [{\"reason\": \"r\",\n\"pool\": \"a\", \"available_share\": 2}]}", "exceptions.0.available_share", 3},
		{"unknown field", "{\"pools\": {\"a\": {\n\"vm\": 3}}}", "vm", 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := fulmarconfig.Parse("fleet.jsonc", []byte(tc.text))
			var fieldError *fulmarsettings.FieldError
			c.Assert(errors.As(err, &fieldError), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(fieldError.Field(), qt.Equals, tc.field)
			c.Assert(fieldError.Line(), qt.Equals, tc.line)
		})
	}
}

func TestExceptionsOverrideDefaults(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile("../../examples/fleet.jsonc")
	c.Assert(err, qt.IsNil)
	document, err := fulmarconfig.Parse("fleet.jsonc", text)
	c.Assert(err, qt.IsNil)
	c.Assert(int(document.DefaultsFor("timetables").TimeoutMillis), qt.Equals, 60000)
	c.Assert(int(document.DefaultsFor("catalogue").TimeoutMillis), qt.Equals, 30000)
}

func TestHistoryIsBounded(t *testing.T) {
	c := qt.New(t)
	record := fulmarconfig.Record{}
	for range 200 {
		record = fulmarconfig.Next(record, fulmarconfig.DefaultDocument(), fulmarconfig.Change{Author: "a", WriteID: "w"})
	}
	c.Assert(record.Generation, qt.Equals, int64(200))
	c.Assert(record.History, qt.HasLen, 50)
	data, err := record.Encode()
	c.Assert(err, qt.IsNil)
	c.Assert(fulmarconfig.ContainsWrite(data, "w"), qt.IsTrue)
	c.Assert(fulmarconfig.ContainsWrite(data, "x"), qt.IsFalse)
}

// FuzzParse checks that every accepted document can be encoded as a record and decoded.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"pools": {"a": {"vms": 3}}, "teams": {"t": {"weight": 1}}}`))
	f.Add([]byte(`{"pools": {"a": {}}, "exceptions": [{"pool": "a", "reason": "r"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := fulmarconfig.Parse("fuzz", data)
		if err != nil {
			return
		}
		stored, err := fulmarconfig.Next(fulmarconfig.Record{}, document, fulmarconfig.Change{}).Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := fulmarconfig.DecodeRecord(stored); err != nil {
			t.Fatal(err)
		}
	})
}
