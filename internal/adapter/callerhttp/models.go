package callerhttp

import (
	"encoding/json"
	"net/http"
	"sort"
)

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models lists the workloads of the account's team.
func (h *handler) models(x *exchange) *failure {
	list := modelList{Object: "list", Data: []model{}}
	for name := range x.catalog().Workloads {
		if name.Team == x.account.Team {
			list.Data = append(list.Data, model{ID: name.Name, Object: "model", OwnedBy: name.Team})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	x.w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(x.w).Encode(list); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}
