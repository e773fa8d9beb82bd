package callerhttp

import (
	"net/http"
	"path"
	"strconv"
	"strings"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/routing"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/wire"
)

// IdempotencyKeyHeader carries the key of a call that may not be repeated.
const IdempotencyKeyHeader = "Idempotency-Key"

const maxKeyBytes = 255

// service serves /v1/services/{service}/{path...}.
func (h *handler) service(x *exchange) *failure {
	name := x.r.PathValue("service")
	service, ok := x.catalog().Services[catalog.TeamName{Team: x.account.Team, Name: name}]
	if !ok {
		return refuse(CodeUnknownService, "no service "+strconv.Quote(name))
	}
	route, failed := findRoute(service, x.r)
	if failed != nil {
		return failed
	}
	key, failed := idempotencyKey(x.r, route)
	if failed != nil {
		return failed
	}
	body, failed := h.readBody(x)
	if failed != nil {
		return failed
	}
	x.class = classFor(route.Class, x.account.Class)
	req := h.request(x, append([]byte(x.r.Method+" "+x.r.URL.RequestURI()+"\n"), body...))
	req.Service = &wire.ServiceCall{
		Service:        name,
		Method:         x.r.Method,
		Path:           servicePath(x.r),
		Headers:        forwardedHeaders(x.r.Header),
		Body:           body,
		Idempotent:     route.Idempotent,
		IdempotencyKey: key,
	}
	answer, failed := h.run(x, req, milliseconds(service.TimeoutMS), nil)
	if failed != nil {
		return failed
	}
	h.writeAnswer(x, answer, "application/octet-stream")
	return nil
}

// findRoute returns the first route that matches. It refuses a path that the
// service could interpret as another path than the one matched here.
func findRoute(service *catalog.Service, r *http.Request) (*schema.Route, *failure) {
	requestedPath := "/" + r.PathValue("path")
	escaped := strings.ToLower(r.URL.EscapedPath())
	if cleaned := path.Clean(requestedPath); cleaned != strings.TrimSuffix(requestedPath, "/") && cleaned != requestedPath ||
		strings.Contains(escaped, "%2f") || strings.Contains(escaped, "%5c") {
		return nil, refuse(CodeBadRequest, "the path is ambiguous")
	}
	if route := routing.MatchRoute(service.Routes, r.Method, requestedPath); route != nil {
		return route, nil
	}
	return nil, refuse(CodeNoRoute, "no route for "+r.Method+" "+requestedPath)
}

// idempotencyKey returns the key of a call to a route that is not idempotent, and
// "" for an idempotent one.
func idempotencyKey(r *http.Request, route *schema.Route) (string, *failure) {
	key := r.Header.Get(IdempotencyKeyHeader)
	if route.Idempotent {
		return "", nil
	}
	if key == "" {
		return "", refuse(CodeKeyRequired, "this call may not be repeated and needs an "+IdempotencyKeyHeader)
	}
	if len(r.Header.Values(IdempotencyKeyHeader)) > 1 || len(key) > maxKeyBytes || !isPrintable(key) {
		return "", refuse(CodeInvalidKey, "want one key of 1 to "+strconv.Itoa(maxKeyBytes)+" printable ASCII characters")
	}
	return key, nil
}

func isPrintable(text string) bool {
	for i := 0; i < len(text); i++ {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// servicePath returns the path and query that are sent to the service.
func servicePath(r *http.Request) string {
	prefix := "/v1/services/" + r.PathValue("service")
	_, rest, _ := strings.Cut(r.URL.RequestURI(), prefix)
	if rest == "" || rest[0] != '/' {
		return "/" + rest
	}
	return rest
}

func forwardedHeaders(header http.Header) []*wire.Header {
	var lines []*wire.Header
	for name, values := range header {
		if !isForwarded(name) {
			continue
		}
		for _, value := range values {
			lines = append(lines, &wire.Header{Name: name, Value: value})
		}
	}
	return lines
}

// isForwarded reports whether a header is passed on, from the caller to the service
// or from the target to the caller.
func isForwarded(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Date",
		"Authorization", IdempotencyKeyHeader, "X-Idempotency-Key", "X-Request-Id", TimeoutHeader:
		return false
	}
	return true
}
