package platform

import "quetzalbend/internal/port"

// NodeHeader is the header that names the calling node in each request to the
// platform.
const NodeHeader = "X-Node"

// AppendRequest is the body of an append.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendAnswer answers an append.
type AppendAnswer struct {
	FirstOffset int64 `json:"first_offset"`
}

// RecordAnswer is one record of a ReadAnswer.
type RecordAnswer struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// ReadAnswer answers a read. Records is empty in the answer to a read of
// expired records.
type ReadAnswer struct {
	Records []RecordAnswer `json:"records,omitempty"`
	Oldest  int64          `json:"oldest"`
	Next    int64          `json:"next"`
	Era     int64          `json:"era,omitempty"` // how often the platform has come back from an older copy
}

// VMsAnswer answers a request for the list of VMs.
type VMsAnswer struct {
	VMs []port.VM `json:"vms"`
}
