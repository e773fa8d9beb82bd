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
func (i *item) name() TeamName {
	path, err := schema.ParsePath(i.path)
	if err != nil {
		return TeamName{}
	}
	return TeamName{Team: path.Team, Name: path.Name}
}

// newItem decodes an entry that differs from the previous item, which is nil for a
// new path. An account is returned separately, since its item does not hold it.
func newItem(entry settings.Entry, previous *item) (item, *Account) {
	i := item{path: entry.Path, version: entry.Version}
	path, err := schema.ParsePath(entry.Path)
	if err == nil && path.Kind == schema.KindAccount {
		account, err := decodeAccount(path, entry.Value)
		i.unreadable = err != nil
		return i, account
	}
	if err == nil {
		i.value, err = decode(path, entry.Value)
	}
	if err != nil {
		i.unreadable = true
		i.value = nil
		if previous != nil {
			i.value = previous.value
		}
	}
	return i, nil
}

// decode decodes the value at a path that is not an account's. Fields that this
// version does not know are ignored.
func decode(path schema.Path, data []byte) (any, error) {
	switch path.Kind {
	case schema.KindDomain:
		value := &schema.Domain{}
		err := unmarshal(data, value, func() error { value.SetDefaults(); return knownState(value.State) })
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
		err := unmarshal(data, &value.Workload, func() error { value.SetDefaults(); return knownClass(value.Class) })
		return value, err
	case schema.KindService:
		value := &Service{Name: path.Name, Team: path.Team}
		err := unmarshal(data, &value.Service, func() error { value.SetDefaults(); return knownRoutes(value.Routes) })
		return value, err
	}
	return nil, errors.Errorf("unknown kind %q", path.Kind)
}

func decodeTarget(path schema.Path, data []byte) (any, error) {
	value := &Target{Name: path.Name, Path: path.String()}
	err := unmarshal(data, &value.Target, func() error { value.SetDefaults(); return knownTarget(&value.Target) })
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

// knownState, knownTarget, knownClass and knownRoutes return an error for enumeration
// values of a later version, which this version would otherwise misinterpret.

func knownState(state schema.Membership) error {
	if state != schema.In && state != schema.Out {
		return errors.Errorf("unknown state %q", state)
	}
	return nil
}

func knownTarget(target *schema.Target) error {
	if target.Kind != schema.ModelTarget && target.Kind != schema.ServiceTarget {
		return errors.Errorf("unknown kind of target %q", target.Kind)
	}
	return knownState(target.State)
}

func knownClass(class schema.Class) error {
	switch class {
	case "", schema.Certificate, schema.Interactive, schema.Batch:
		return nil
	}
	return errors.Errorf("unknown class %q", class)
}

func knownRoutes(routes []schema.Route) error {
	for _, route := range routes {
		if err := knownClass(route.Class); err != nil {
			return err
		}
	}
	return nil
}
