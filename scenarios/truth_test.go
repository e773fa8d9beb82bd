//go:build scenarios

package scenarios

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/app/load/truth"
	"quetzalbend/internal/app/standin/service"
)

// runs returns the number of runs of each key, summed over all services.
func (sc *scenario) runs() (map[string]int, error) {
	runs := make(map[string]int)
	for _, process := range sc.withPrefix("service") {
		got, err := truth.Read[service.Truth](context.Background(), process.Base)
		if err != nil {
			return nil, err
		}
		for key, count := range got.Runs {
			runs[key] += count
		}
	}
	return runs, nil
}

// cmdTruth checks a number that stand-ins have recorded, without waiting:
// truth [each] NAME FIELD ==|<=|>= NUMBER. NAME may be a prefix. The numbers of
// all processes are summed. With "each", the number of every process is compared
// by itself instead.
func (sc *scenario) cmdTruth(args []string) error {
	each := len(args) > 0 && args[0] == "each"
	if each {
		args = args[1:]
	}
	if len(args) != 4 {
		return errors.New("usage: truth [each] NAME FIELD OPERATOR NUMBER")
	}
	want, err := strconv.ParseFloat(args[3], 64)
	if err != nil {
		return err
	}
	sum := 0.0
	found := sc.withPrefix(args[0])
	if len(found) == 0 {
		return errors.Errorf("no process %s", args[0])
	}
	for _, process := range found {
		got, err := truth.Read[map[string]any](context.Background(), process.Base)
		if err != nil {
			return err
		}
		value, err := lookUp(got, args[1])
		if err != nil {
			return err
		}
		if each && !holds(value, args[2], want) {
			return errors.Errorf("%s of %s is %v", args[1], process.Name, value)
		}
		sum += value
	}
	if !each && !holds(sum, args[2], want) {
		return errors.Errorf("%s of %s is %v", args[1], args[0], sum)
	}
	return nil
}

// cmdAwait waits until cmdTruth succeeds: await [within=SECONDS] ARGUMENTS.
func (sc *scenario) cmdAwait(args []string) error {
	options, rest := splitOptions(args, "within")
	seconds, err := number(options, "within", int(startLimit.Seconds()))
	if err != nil {
		return err
	}
	return eventually(time.Duration(seconds)*time.Second, func() error { return sc.cmdTruth(rest) })
}

// lookUp returns the number at a path of field names separated by dots; the names
// may themselves contain dots. A missing field counts as 0 and a list as its
// length.
func lookUp(object map[string]any, path string) (float64, error) {
	switch value := object[path].(type) {
	case float64:
		return value, nil
	case []any:
		return float64(len(value)), nil
	}
	for name, field := range object {
		rest, below := strings.CutPrefix(path, name+".")
		if child, ok := field.(map[string]any); below && ok {
			return lookUp(child, rest)
		}
	}
	if value, ok := object[path]; ok && value != nil {
		return 0, errors.Errorf("field %s is not a number", path)
	}
	return 0, nil
}

func holds(got float64, operator string, want float64) bool {
	switch operator {
	case "==":
		return got == want
	case "<=":
		return got <= want
	case ">=":
		return got >= want
	}
	return false
}

// cmdMark records the current time under a name: mark NAME.
func (sc *scenario) cmdMark(args []string) error {
	if len(args) != 1 {
		return errors.New("usage: mark NAME")
	}
	sc.marks[args[0]] = time.Now()
	return nil
}

// cmdNoWork checks that stand-ins got no request later than SECONDS after a mark.
// The check is made 1.5 times SECONDS after the mark:
// nowork MARK SECONDS NAME...
func (sc *scenario) cmdNoWork(args []string) error {
	if len(args) < 3 {
		return errors.New("usage: nowork MARK SECONDS NAME [NAME]")
	}
	seconds, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return err
	}
	span := time.Duration(seconds * float64(time.Second))
	from := sc.marks[args[0]].Add(span)
	until := from.Add(span / 2)
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	<-timer.C
	for _, name := range args[2:] {
		for _, process := range sc.withPrefix(name) {
			got, err := truth.Read[map[string]any](context.Background(), process.Base)
			if err != nil {
				return err
			}
			last, err := lookUp(got, "last_request_unix_ms")
			if err != nil {
				return err
			}
			if late := time.UnixMilli(int64(last)).Sub(from); late > 0 {
				return errors.Errorf("%s got a request %s too late", process.Name, late)
			}
		}
	}
	return nil
}
