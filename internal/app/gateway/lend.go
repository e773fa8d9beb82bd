package gateway

import (
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/core/registry"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/fleetsync"
	"quetzalbend/internal/wire"
)

// serveAdmission lends a peer one of this gateway's admissions to one of the targets that
// it names.
func (g *Gateway) serveAdmission(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxQuestionBytes))
	question := &wire.AdmissionQuestion{}
	if err == nil {
		err = proto.Unmarshal(data, question)
	}
	view := g.state.View()
	if err != nil || view == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer, err := proto.Marshal(g.answerAdmission(question, view, time.Now()))
	if err != nil {
		g.log.Problem("admission not encoded", err, nil)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", protobufMediaType)
	if _, err := w.Write(answer); err != nil {
		g.log.Decision("admission not delivered", eventlog.Fields{"error": err.Error()})
	}
}

func (g *Gateway) answerAdmission(question *wire.AdmissionQuestion, view *fleetsync.View, now time.Time) *wire.AdmissionAnswer {
	service := view.Settings.Services[question.Service]
	if service == nil {
		return &wire.AdmissionAnswer{WaitMs: maxBorrowPause.Milliseconds()}
	}
	var named []registry.Usable
	for _, asked := range question.Targets[:min(len(question.Targets), maxBorrowTargets)] {
		for _, target := range view.Targets[question.Service] {
			if target.ID == asked.Id && target.Born == asked.Born {
				named = append(named, target)
			}
		}
	}
	gates := g.gates(now)
	if target, lent := g.loads.lend(service, named, gates, now); lent {
		return &wire.AdmissionAnswer{Target: target.ID}
	}
	wait := g.loads.admissionWait(service, named, gates.admission, now)
	return &wire.AdmissionAnswer{WaitMs: wait.Milliseconds()}
}

// lend counts a request that another gateway is about to send to the first of the targets
// for which this gateway's share allows that.
func (l *loads) lend(service *fleet.Service, targets []registry.Usable, gates targetGates, now time.Time) (registry.Usable, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, target := range targets {
		t := l.target(target.ID, now)
		if t.admissions.CanSend(gates.admission.of(service, t, target, now), now) && gates.allow(target, now) {
			t.admissions.RecordSent(now.Add(lentTime))
			return target, true
		}
	}
	return registry.Usable{}, false
}
