package catalog

import (
	"encoding/json"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/core/settings"
)

// item is a path with its decoded value. A catalog keeps its items in path order, so
// that the next catalog can reuse those that have not changed.
type item struct {
	path       string
	version    int64
	value      any  // pointer to the last value that could be read; nil for accounts and if there was none
	unreadable bool // the current value cannot be read
}

// name returns the team and name in the item's path.
func (it *item) name() TeamName {
	path, err := schema.ParsePath(it.path)
	if err != nil {
		return TeamName{}
	}
	return TeamName{Team: path.Team, Name: path.Name}
}

// newItem decodes an entry that differs from the previous item, which is nil for a
// new path. An account is returned separately, since its item does not hold it.
func newItem(entry settings.Entry, previous *item) (item, *Account) {
	it := item{path: entry.Path, version: entry.Version}
	path, err := schema.ParsePath(entry.Path)
	if err == nil && path.Kind == schema.KindAccount {
		account, err := decodeAccount(path, entry.Value)
		it.unreadable = err != nil
		return it, account
	}
	if err == nil {
		it.value, err = decode(path, entry.Value)
	}
	if err != nil {
		it.unreadable = true
		it.value = nil
		if previous != nil {
			it.value = previous.value
		}
	}
	return it, nil
}

// decode decodes the value at a path that is not an account's. Fields that this
// version does not know are ignored.
func decode(path schema.Path, data []byte) (any, error) {
	switch path.Kind {
	case schema.KindDomain:
		value := &schema.Domain{}
		err := unmarshal(data, value, func() error { value.SetDefaults(); return checkState(value.State) })
		return value, err
	case schema.KindOperator:
		value := &schema.Operator{}
		return value, unmarshal(data, value, nil)
	case schema.KindTarget:
		return decodeTarget(path, data)
	case schema.KindGroup:
		value := &schema.Group{}
		return value, unmarshal(data, value, nil)
	case schema.KindTeam:
		value := &schema.Team{}
		err := unmarshal(data, value, func() error { value.SetDefaults(); return nil })
		return value, err
	case schema.KindModel:
		value := &schema.Model{}
		return value, unmarshal(data, value, nil)
	case schema.KindWorkload:
		value := &Workload{Name: path.Name, Team: path.Team}
		err := unmarshal(data, &value.Workload, func() error { value.SetDefaults(); return checkClass(value.Class) })
		return value, err
	case schema.KindService:
		value := &Service{Name: path.Name, Team: path.Team}
		err := unmarshal(data, &value.Service, func() error { value.SetDefaults(); return checkRoutes(value.Routes) })
		return value, err
	}
	return nil, errors.Errorf("unknown kind %q", path.Kind)
}

func decodeTarget(path schema.Path, data []byte) (any, error) {
	value := &Target{Name: path.Name, Path: path.String()}
	err := unmarshal(data, &value.Target, func() error { value.SetDefaults(); return checkTarget(&value.Target) })
	if path.Team != "" {
		value.Team = path.Team
	}
	return value, err
}

// unmarshal decodes data into value and then calls finish, if that is not nil.
func unmarshal(data []byte, value any, finish func() error) error {
	if err := json.Unmarshal(data, value); err != nil {
		return errors.Wrap(err, "decode setting")
	}
	if finish == nil {
		return nil
	}
	return finish()
}

// checkState, checkTarget, checkClass and checkRoutes return an error for enumeration
// values of a later version, which this version would otherwise misinterpret.

func checkState(state schema.AdminState) error {
	if state != schema.In && state != schema.Out {
		return errors.Errorf("unknown state %q", state)
	}
	return nil
}

func checkTarget(target *schema.Target) error {
	if target.Kind != schema.ModelTarget && target.Kind != schema.ServiceTarget {
		return errors.Errorf("unknown kind of target %q", target.Kind)
	}
	return checkState(target.State)
}

func checkClass(class schema.Class) error {
	switch class {
	case "", schema.Certificate, schema.Interactive, schema.Batch:
		return nil
	}
	return errors.Errorf("unknown class %q", class)
}

func checkRoutes(routes []schema.Route) error {
	for _, route := range routes {
		if err := checkClass(route.Class); err != nil {
			return err
		}
	}
	return nil
}
