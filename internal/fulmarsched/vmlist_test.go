package fulmarsched

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// An executor that may be up must not count as ended.
func TestVMListExcludesOnlyExecutorsThatHaveEnded(t *testing.T) {
	up := func(vm, executor string) fulmarjob.VM { return fulmarjob.VM{Name: vm, Up: true, Executor: executor} }
	down := fulmarjob.VM{Name: "vm-0"}
	other := up("vm-1", "x-1")
	for _, row := range []struct {
		name   string
		before []fulmarjob.VM
		newest []fulmarjob.VM
		vm     string
		want   bool
	}{
		{"its VM is down", nil, []fulmarjob.VM{down, other}, "vm-0", true},
		{"its VM has another executor", nil, []fulmarjob.VM{up("vm-0", "x-2"), other}, "vm-0", true},
		{"its VM names it", nil, []fulmarjob.VM{up("vm-0", "x-0"), other}, "vm-0", false},
		{"another VM than that of an odd entry names it", nil, []fulmarjob.VM{down, up("vm-1", "x-0")}, "vm-0", false},
		{"its VM names none yet", nil, []fulmarjob.VM{up("vm-0", ""), other}, "vm-0", false},
		{"its VM names none, twice", []fulmarjob.VM{up("vm-0", ""), other}, []fulmarjob.VM{up("vm-0", ""), other}, "vm-0", false},
		{"its VM is missing once", []fulmarjob.VM{up("vm-0", "x-0"), other}, []fulmarjob.VM{other}, "vm-0", false},
		{"its VM is missing twice", []fulmarjob.VM{other}, []fulmarjob.VM{other}, "vm-0", true},
		{"its VM is not known", []fulmarjob.VM{up("vm-0", "x-0"), other}, []fulmarjob.VM{down, other}, "", false},
		{"its VM is not known, two lists", []fulmarjob.VM{down, other}, []fulmarjob.VM{down, other}, "", true},
		{"no list names an executor", []fulmarjob.VM{down}, []fulmarjob.VM{down}, "vm-0", false},
		{"the list is empty", []fulmarjob.VM{other}, nil, "vm-0", false},
		{"no list", nil, nil, "vm-0", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			l := newVMListing()
			l.update(1000, row.before)
			l.update(2000, row.newest)
			quicktest.Check(t, l.excludes("x-0", row.vm), quicktest.Equals, row.want)
		})
	}
}
