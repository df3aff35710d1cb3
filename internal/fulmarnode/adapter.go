package fulmarnode

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	fulmaradapter "github.com/fulmardrum/fulmardrum/platform"
)

// callersFormat gives the adapter's formats to the front.
type callersFormat struct{}

func (callersFormat) Job(body []byte) (fulmarjob.Specification, error) {
	return fulmaradapter.DecodeJob(body)
}

func (callersFormat) State(state fulmarjob.State) any {
	return fulmaradapter.StateAnswer{State: state}
}

func (callersFormat) Pending(jobs int) any { return fulmaradapter.PendingAnswer{Pending: jobs} }

func (callersFormat) DeadlineHeader() string { return fulmaradapter.DeadlineHeader }

// storeFormat gives the adapter's formats to the owner.
type storeFormat struct{}

func (storeFormat) ExecutorPrefix() string { return fulmaradapter.ExecutorPrefix }

func (storeFormat) DecodeExecutor(key string, value []byte) (fulmarjob.Executor, error) {
	return fulmaradapter.DecodeExecutor(key, value)
}

func (storeFormat) EncodeWaveState(number int64, completed bool) (string, []byte) {
	return fulmaradapter.EncodeWaveState(number, completed)
}
