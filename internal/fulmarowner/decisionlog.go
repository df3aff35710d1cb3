package fulmarowner

// decisionLog is the scheduler's log and metrics.
type decisionLog struct{ options Options }

// Log logs a decision of the scheduler.
func (d decisionLog) Log(message string, fields ...any) { d.options.Logger.Info(message, fields...) }

// Count counts an event by reason.
func (d decisionLog) Count(name, reason string) { d.options.Metrics.Count(name, reason) }
