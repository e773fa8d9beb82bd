package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/platform/platformtest"
)

func TestPathReachesTheTargetByteForByte(t *testing.T) {
	target := platformtest.NewTarget(t, "i-1")
	b := newTestbed(t, target)
	for sent, want := range map[string]string{
		"/read/a|b":                        "/read/a|b",
		"/read/{a}^`b":                     "/read/{a}^`b",
		"/read/a#b":                        "/read/a#b",
		"/read/\"<a>\\":                    "/read/\"<a>\\",
		"/read/\xc3\xa9":                   "/read/\xc3\xa9",
		"/read/a%7cb%2Fc%2f?x=%7C|":        "/read/a%7cb%2Fc%2f?x=%7C|",
		"/read//a/../b/./?":                "/read//a/../b/./?",
		"/read/a?x?y#z":                    "/read/a?x?y#z",
		"http://" + testHost + "/read/a?x": "/read/a?x",
	} {
		t.Run(sent, func(t *testing.T) {
			conn, err := net.Dial("tcp", b.gateway.node.CallerAddress)
			assert.NilError(t, err)
			defer conn.Close() //nolint:errcheck // the test ends
			assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
			before := arrived(target)
			_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nCredential: %s\r\nAttempt-Id: %s\r\nConnection: close\r\n\r\n",
				sent, testHost, testKey, nextRequestID())
			assert.NilError(t, err)
			answer, err := io.ReadAll(conn)
			assert.NilError(t, err)
			assert.Equal(t, arrived(target), before+1, "%s", answer)
			arrival := target.Arrivals()[before]
			assert.Equal(t, arrival.URI, want)
			assert.Equal(t, arrival.Method, http.MethodGet)
		})
	}
}
