package topology

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Ports for listeners lie below the range from which the kernel picks the ports
// of outgoing connections, so that none of those takes one before its listener.
const (
	firstPort  = 10000
	portCount  = 20000
	perProcess = 131 // spreads processes that lay out systems at the same time
)

var nextPort atomic.Int64

// freeAddress returns an address on ip at whose port nothing listens.
func freeAddress(ip string) (string, error) {
	for range portCount {
		port := firstPort + (int64(os.Getpid())*perProcess+nextPort.Add(1))%portCount
		address := net.JoinHostPort(ip, strconv.FormatInt(port, 10))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.Errorf("no free port on %s", ip)
}
