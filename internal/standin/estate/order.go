package estate

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

type order struct {
	Op      string   `json:"op"`
	Group   string   `json:"group"`
	Epoch   int64    `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`
	// Expected is the sequence that the worker must have; nil for any.
	Expected *int64 `json:"expected_revision"`
}

func (w *Worker) order(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	serving := w.servingGroup(o)
	status := w.applyOrder(o)
	if serving != "" && status == http.StatusAccepted {
		w.platform.recordBreach(fmt.Sprintf("worker %s joins group %s while the head of its group %s is open", w.ID, o.Group, serving))
	}
	rw.WriteHeader(status)
	w.writeEntry()
}

// servingGroup returns the name of another group of the worker whose head serves, if the order is a join.
func (w *Worker) servingGroup(o order) string {
	w.mu.Lock()
	current, members := w.group, w.members
	w.mu.Unlock()
	if o.Op != "join" || current == nil || current.Name == o.Group || len(members) == 0 {
		return ""
	}
	for _, head := range w.platform.OpenHeads() {
		if head.ID == members[0] && head.GroupName() == current.Name {
			return current.Name
		}
	}
	return ""
}

// GroupName returns the name of the worker's group, or "".
func (w *Worker) GroupName() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.group == nil {
		return ""
	}
	return w.group.Name
}

// applyOrder carries out an order and returns the status of the response.
func (w *Worker) applyOrder(o order) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Expected != nil && *o.Expected != w.sequence {
		return http.StatusConflict
	}
	inGroup := w.group != nil && w.group.Name == o.Group && w.group.Epoch == o.Epoch
	switch o.Op {
	case "join":
		if o.Epoch < w.maxEpoch {
			return http.StatusPreconditionFailed
		}
		w.maxEpoch, w.model, w.members = o.Epoch, o.Model, o.Members
		w.group = &group{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, w.ID), State: "joining"}
		time.AfterFunc(joinDuration, func() { w.setState(o, "ready") })
	case "open":
		if !inGroup || w.group.State != "ready" {
			return http.StatusConflict
		}
		w.platform.checkOpening(o.Group, w.members)
		w.group.State = "open"
	case "leave":
		if inGroup {
			w.group = nil
			w.sequence++
		}
		return http.StatusOK
	case "stage":
		w.staged = []string{o.Model}
	}
	w.sequence++
	return http.StatusAccepted
}

func (w *Worker) setState(o order, state string) {
	w.mu.Lock()
	inGroup := w.group != nil && w.group.Name == o.Group && w.group.Epoch == o.Epoch
	if inGroup {
		w.group.State = state
		w.platform.recordReady(o.Group, w.ID)
	}
	w.mu.Unlock()
	if inGroup {
		w.writeEntry()
	}
}
