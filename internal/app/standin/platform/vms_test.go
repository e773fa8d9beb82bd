package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	client "quetzalbend/internal/adapter/platform"
	"quetzalbend/internal/port"
)

func TestVMsByNameListsOnlyThatVM(t *testing.T) {
	var vms []port.VM
	for i := range 4120 {
		vms = append(vms, port.VM{Name: fmt.Sprintf("vm-%04d", i), FailureDomain: "domain-1", State: port.VMLive})
	}
	vms[7].State = port.VMLeaving
	platform := New(Config{VMs: vms})
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	one := client.NewClient(client.Config{BaseURL: server.URL, OnlyVM: "vm-0007"})
	listed, err := one.VMs(context.Background())
	assert.NilError(t, err)
	assert.DeepEqual(t, listed, vms[7:8])
	gone := vms[:7]
	platform.SetFaults(Faults{VMs: &gone})
	listed, err = one.VMs(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(listed), 0)
	all, single := bodySize(vms, ""), bodySize(vms, "?name=vm-0003")
	t.Logf("all: %d bytes, one: %d bytes", all, single)
	assert.Assert(t, single < 100 && all > 100_000)
}

func bodySize(vms []port.VM, query string) int {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, "/v1/vms"+query, nil)
	New(Config{VMs: vms}).Handler().ServeHTTP(recorder, request)
	return recorder.Body.Len()
}
