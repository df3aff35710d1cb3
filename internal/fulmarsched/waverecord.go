package fulmarsched

import (
	"encoding/json"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// waveRecord is the journal record of a wave.
type waveRecord struct {
	Number  int64              `json:"n"`
	MaxDown int                `json:"m"`
	Within  fulmarclock.Millis `json:"w"`
	VMs     []vmRecord         `json:"v"`
}

type vmRecord struct {
	Name        string `json:"n"`
	Chosen      bool   `json:"c,omitempty"`
	Done        bool   `json:"d,omitempty"`
	Executor    string `json:"i,omitempty"`
	Incarnation int64  `json:"b,omitempty"`
}

func (w *wave) record() waveRecord {
	r := waveRecord{Number: w.request.Number, MaxDown: w.request.MaxDown, Within: w.request.MaxDuration}
	for _, m := range w.vms {
		r.VMs = append(r.VMs, vmRecord{Name: m.vm, Chosen: m.chosen, Done: m.done, Executor: m.oldExecutor, Incarnation: m.oldIncarnation})
	}
	return r
}

func (s *Scheduler) restoreWave(value json.RawMessage) error {
	var r waveRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return err
	}
	w := &wave{request: fulmarjob.Wave{Number: r.Number, MaxDown: r.MaxDown, MaxDuration: r.Within}, receivedAt: s.now}
	for _, v := range r.VMs {
		w.request.VMs = append(w.request.VMs, v.Name)
		s.inheritedVMs[v.Name] = s.inheritedVMs[v.Name] || v.Chosen
		w.vms = append(w.vms, &vmMaintenance{vm: v.Name, chosen: v.Chosen, journaled: v.Chosen, done: v.Done, oldExecutor: v.Executor, oldIncarnation: v.Incarnation})
	}
	s.waves[r.Number] = w
	return nil
}
