package topology

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Ports for listeners are below the range from which the kernel picks the ports of
// outgoing connections, so that no connection takes one before its listener does.
const (
	firstPort  = 10000
	portCount  = 20000
	portStride = 131 // makes concurrent processes try different ports
)

var nextPort atomic.Int64

// freeAddress returns an address on ip with a port that nothing listens on.
func freeAddress(ip string) (string, error) {
	for range portCount {
		port := firstPort + (int64(os.Getpid())*portStride+nextPort.Add(1))%portCount
		address := net.JoinHostPort(ip, strconv.FormatInt(port, 10))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.Errorf("no free port on %s", ip)
}
