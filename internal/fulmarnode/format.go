package fulmarnode

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	fulmaradapter "github.com/fulmardrum/fulmardrum/platform"
)

// callerCodec implements fulmarfront.Codec with the formats of the platform.
type callerCodec struct{}

func (callerCodec) DecodeJob(body []byte) (fulmarjob.Specification, error) {
	return fulmaradapter.DecodeJob(body)
}

func (callerCodec) EncodeState(state fulmarjob.State) any {
	return fulmaradapter.StateResponse{State: state}
}

func (callerCodec) EncodePending(jobs int) any { return fulmaradapter.PendingResponse{Pending: jobs} }

func (callerCodec) DeadlineHeader() string { return fulmaradapter.DeadlineHeader }

func (callerCodec) KeyScheme() string { return fulmaradapter.KeyScheme }

// storeCodec implements fulmarowner's formats of store values with those of the platform.
type storeCodec struct{}

func (storeCodec) ExecutorPrefix() string { return fulmaradapter.ExecutorPrefix }

func (storeCodec) DecodeExecutor(key string, value []byte) (fulmarjob.Executor, error) {
	return fulmaradapter.DecodeExecutor(key, value)
}

func (storeCodec) EncodeWaveState(number int64, completed bool) (string, []byte) {
	return fulmaradapter.EncodeWaveState(number, completed)
}
