package fulmarsched

import (
	"encoding/json"
	"math"
	"strings"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

const (
	// modelDecay is the factor by which the weight of earlier runs shrinks with each new run.
	modelDecay = 0.995
	// modelRecordInterval is the time between two journal records of the duration models.
	modelRecordInterval = 2 * fulmarclock.Second
	// priorRuns is the weight, in runs, of the prior assumption that declared durations are right.
	priorRuns = 6.0
	// priorVariance is the variance of the logarithm of the declared duration under that
	// assumption.
	priorVariance = 0.25
	// priorResidualVariance is the variance of the logarithm of the actual duration around the prediction
	// that is assumed before any run: about one in three runs takes more than 2.6 times the prediction,
	// or less than 1/2.6 of it.
	priorResidualVariance = 0.94
	// ninetiethPercentile is the number of standard deviations above the mean of a normal distribution
	// that nine of ten values are below.
	ninetiethPercentile = 1.28
)

// durationModel predicts the duration of a run from its declared duration, by a weighted linear
// regression of the logarithms. The less the declared durations correlate with the actual ones,
// the closer the predictions are to the mean duration.
type durationModel struct {
	weight       float64
	meanDeclared float64
	meanActual   float64
	// variance and covariance are weighted sums of squared deviations from the means.
	variance   float64
	covariance float64
	// actualVariance is that sum for the logarithms of the actual durations.
	actualVariance float64
	// dirty means that the journal does not hold the newest values.
	dirty bool
}

// modelKeyPrefix is the prefix of the journal keys of duration models.
const modelKeyPrefix = "f/"

// modelRecord is the journal record of a duration model.
type modelRecord struct {
	Weight     float64 `json:"w"`
	Declared   float64 `json:"d"`
	Actual     float64 `json:"t"`
	Variance   float64 `json:"v"`
	Covariance float64 `json:"c"`
	// ActualVariance is missing in the records of earlier versions.
	ActualVariance float64 `json:"y,omitempty"`
}

func (m *durationModel) record() modelRecord {
	return modelRecord{m.weight, m.meanDeclared, m.meanActual, m.variance, m.covariance, m.actualVariance}
}

// restoreModel returns the model of a record. Without a recorded spread, the prior one is assumed.
func restoreModel(r modelRecord) *durationModel {
	m := &durationModel{weight: r.Weight, meanDeclared: r.Declared, meanActual: r.Actual, variance: r.Variance, covariance: r.Covariance, actualVariance: r.ActualVariance}
	if m.actualVariance == 0 && m.variance > 0 {
		m.actualVariance = m.covariance*m.covariance/m.variance + m.weight*priorResidualVariance
	}
	return m
}

// restoreModels loads the duration models of previous owners.
func (s *Scheduler) restoreModels(records []Record) error {
	for _, r := range records {
		key, found := strings.CutPrefix(r.Key, modelKeyPrefix)
		if !found {
			continue
		}
		var record modelRecord
		if err := json.Unmarshal(r.Value, &record); err != nil {
			return &fulmarjob.FormatError{What: r.Key, Cause: err}
		}
		s.durationModels[key] = restoreModel(record)
	}
	return nil
}

// changedModelRecords returns the records of the models that changed, at most once per
// modelRecordInterval.
func (s *Scheduler) changedModelRecords() []Record {
	if s.now < s.modelsRecordedAt+modelRecordInterval {
		return nil
	}
	s.modelsRecordedAt = s.now
	var records []Record
	for _, key := range sortedKeys(s.durationModels) {
		if model := s.durationModels[key]; model.dirty {
			model.dirty = false
			records = append(records, encodeRecord(modelKeyPrefix+key, model.record()))
		}
	}
	return records
}

// observe adds one run.
func (m *durationModel) observe(declared, actual fulmarclock.Millis) {
	m.dirty = true
	x, y := logMillis(declared), logMillis(actual)
	if m.weight == 0 {
		// The model starts with the assumption that declared durations are right.
		m.weight, m.meanDeclared, m.meanActual = priorRuns, x, x
		m.variance, m.covariance = priorRuns*priorVariance, priorRuns*priorVariance
		m.actualVariance = priorRuns * (priorVariance + priorResidualVariance)
	}
	m.weight = m.weight*modelDecay + 1
	m.variance *= modelDecay
	m.covariance *= modelDecay
	m.actualVariance *= modelDecay
	dx, dy := x-m.meanDeclared, y-m.meanActual
	m.meanDeclared += dx / m.weight
	m.meanActual += dy / m.weight
	m.variance += dx * (x - m.meanDeclared)
	m.covariance += dx * (y - m.meanActual)
	m.actualVariance += dy * (y - m.meanActual)
}

// predict returns the expected duration of a run.
func (m *durationModel) predict(declared fulmarclock.Millis) fulmarclock.Millis {
	if !m.hasRuns() {
		return declared
	}
	return fulmarclock.Millis(math.Exp(m.predictLog(declared)))
}

// quantile returns the duration that lies a number of standard deviations of the logarithm above the
// expected one.
func (m *durationModel) quantile(declared fulmarclock.Millis, deviations float64) fulmarclock.Millis {
	if !m.hasRuns() {
		return fulmarclock.Millis(float64(declared) * math.Exp(deviations*math.Sqrt(priorResidualVariance)))
	}
	return fulmarclock.Millis(math.Exp(m.predictLog(declared) + deviations*math.Sqrt(m.residualVariance())))
}

func (m *durationModel) hasRuns() bool { return m != nil && m.weight > 0 && m.variance > 0 }

// predictLog returns the logarithm of the expected duration.
func (m *durationModel) predictLog(declared fulmarclock.Millis) float64 {
	return m.meanActual + m.slope()*(logMillis(declared)-m.meanDeclared)
}

func (m *durationModel) slope() float64 { return min(max(m.covariance/m.variance, 0), 1) }

// residualVariance returns the variance of the logarithms of actual durations around the predictions.
func (m *durationModel) residualVariance() float64 {
	slope := m.slope()
	return max(m.actualVariance-2*slope*m.covariance+slope*slope*m.variance, 0) / m.weight
}

func logMillis(duration fulmarclock.Millis) float64 { return math.Log(float64(max(duration, 1))) }
