// Package truth reads the stand-ins' record of what really happened (ground
// truth).
package truth

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// Read returns the truth of the stand-in at the base URL, decoded into a T.
func Read[T any](ctx context.Context, base string) (T, error) {
	var truth T
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/standin/truth", nil)
	if err != nil {
		return truth, errors.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return truth, errors.Wrapf(err, "read truth of %s", base)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return truth, errors.Errorf("read truth of %s: status %d", base, response.StatusCode)
	}
	err = json.NewDecoder(response.Body).Decode(&truth)
	return truth, errors.Wrapf(err, "decode truth of %s", base)
}
