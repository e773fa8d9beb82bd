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
	route, failed := routeOf(service, x.r)
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

// routeOf returns the first route that matches. Paths that a service may read
// as another one than the route was matched by are refused.
func routeOf(service *catalog.Service, r *http.Request) (*schema.Route, *failure) {
	asked := "/" + r.PathValue("path")
	escaped := strings.ToLower(r.URL.EscapedPath())
	if cleaned := path.Clean(asked); cleaned != strings.TrimSuffix(asked, "/") && cleaned != asked ||
		strings.Contains(escaped, "%2f") || strings.Contains(escaped, "%5c") {
		return nil, refuse(CodeBadRequest, "the path is ambiguous")
	}
	if route := routing.MatchRoute(service.Routes, r.Method, asked); route != nil {
		return route, nil
	}
	return nil, refuse(CodeNoRoute, "no route for "+r.Method+" "+asked)
}

func idempotencyKey(r *http.Request, route *schema.Route) (string, *failure) {
	key := r.Header.Get(IdempotencyKeyHeader)
	if route.Idempotent {
		return "", nil
	}
	if key == "" {
		return "", refuse(CodeKeyRequired, "this call may not be repeated and needs an "+IdempotencyKeyHeader)
	}
	if len(r.Header.Values(IdempotencyKeyHeader)) > 1 || len(key) > maxKeyBytes || !printable(key) {
		return "", refuse(CodeInvalidKey, "want one key of 1 to "+strconv.Itoa(maxKeyBytes)+" printable ASCII characters")
	}
	return key, nil
}

func printable(text string) bool {
	for i := 0; i < len(text); i++ {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// servicePath returns the path and query as the service gets them.
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
		if !forwarded(name) {
			continue
		}
		for _, value := range values {
			lines = append(lines, &wire.Header{Name: name, Value: value})
		}
	}
	return lines
}

// forwarded reports whether a header goes beyond this hop.
func forwarded(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Date",
		"Authorization", IdempotencyKeyHeader, "X-Idempotency-Key", "X-Request-Id", TimeoutHeader:
		return false
	}
	return true
}
