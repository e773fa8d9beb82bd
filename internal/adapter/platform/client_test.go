package platform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/port"
)

func TestOddItemOfTheListOfVMsHidesNoOther(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, `{"vms":[{"name":"a","state":"leaving"},{"name":7},null,"x",{"name":"b","state":[[[]]]},{"name":"c","state":"live"}]}`)
		assert.Check(t, err)
	}))
	defer server.Close()
	vms, err := NewClient(Config{BaseURL: server.URL, Node: "n"}).VMs(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, vms, []port.VM{{Name: "a", State: port.VMLeaving}, {Name: "c", State: port.VMLive}})
}
