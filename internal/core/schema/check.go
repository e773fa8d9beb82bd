package schema

import (
	"strings"

	"quetzalbend/internal/core/check"
)

// Bounds of the JSON document of a setting.
const (
	MaxValueBytes = 64 << 10 // 64 KiB
	MaxValueDepth = 16       // levels of nested objects and arrays
)

// Problem is one thing that is wrong with a setting.
type Problem = check.Problem

// Check returns what is wrong with value at path. View holds the settings that
// it may refer to; with a nil view references are not checked.
func Check(path string, value []byte, view View) []Problem {
	parsed, err := ParsePath(path)
	if err != nil {
		return []Problem{{Path: path, Want: err.Error()}}
	}
	c := checker{pathText: path, path: parsed, view: view, Report: check.NewReport(path)}
	switch parsed.Kind {
	case KindDomain:
		return checkValue(&c, path, value, c.domain)
	case KindOperator:
		return checkValue(&c, path, value, c.operator)
	case KindTarget:
		return checkValue(&c, path, value, c.target)
	case KindGroup:
		return checkValue(&c, path, value, c.group)
	case KindTeam:
		return checkValue(&c, path, value, c.team)
	case KindAccount:
		return checkValue(&c, path, value, c.account)
	case KindModel:
		return checkValue(&c, path, value, c.model)
	case KindWorkload:
		return checkValue(&c, path, value, c.workload)
	default:
		return checkValue(&c, path, value, c.service)
	}
}

// CheckDelete returns why path may not be deleted. With a nil view it does not
// look for settings that depend on path.
func CheckDelete(path string, view View) []Problem {
	parsed, err := ParsePath(path)
	if err != nil {
		return []Problem{{Path: path, Want: err.Error()}}
	}
	if view == nil {
		return nil
	}
	dependents := view.Dependents(parsed)
	if len(dependents) == 0 {
		return nil
	}
	report := check.NewReport(path)
	report.Add("", dependents, "no settings that refer to it; change or delete these first")
	return report.Problems()
}

// MayWrite reports whether an operator bound to subtree may write path. The
// operator may write what is below subtree, but not subtree itself, so a team's
// operator cannot raise the team's own share or limits.
func MayWrite(subtree, path string) bool {
	if subtree == "/" {
		return true
	}
	return strings.HasPrefix(path, strings.TrimSuffix(subtree, "/")+"/") && subtree != ""
}

// checker checks one value. The embedded report collects the problems. A method
// that is named after a type or a field checks a value of it.
type checker struct {
	*check.Report

	pathText string // path of the value, as given
	path     Path   // the same, parsed
	view     View   // nil if references are not checked
}

// checkValue decodes data strictly and passes it on to inspect.
func checkValue[T any](c *checker, path string, data []byte, inspect func(*T)) []Problem {
	value, problems := check.Decode[T](path, data, check.Bounds{Bytes: MaxValueBytes, Depth: MaxValueDepth})
	if len(problems) > 0 {
		return problems
	}
	inspect(&value)
	return c.Problems()
}

// optionalRange is like Range, but also allows zero, the value of a field that
// is left out.
func (c *checker) optionalRange(field string, value, low, high int64, unit string) {
	if value != 0 {
		c.Range(field, value, low, high, unit)
	}
}

func (c *checker) state(state AdminState) {
	if state != "" && state != In && state != Out {
		c.Addf("state", state, "%q or %q", In, Out)
	}
}

func (c *checker) class(field string, class Class) {
	switch class {
	case "", Certificate, Interactive, Batch:
	default:
		c.Addf(field, class, "%q, %q or %q", Certificate, Interactive, Batch)
	}
}

// tokenHash checks the hash of a bearer token. No two paths may have the same.
func (c *checker) tokenHash(hash string) {
	if !isSHA256(hash) {
		c.Add("token_sha256", hash, "the SHA-256 of the bearer token as 64 lower-case hex digits")
		return
	}
	if c.view == nil {
		return
	}
	if owner, taken := c.view.TokenOwner(hash); taken && owner != c.pathText {
		c.Addf("token_sha256", hash, "a token of its own; %s has this one", owner)
	}
}

func isSHA256(hash string) bool {
	if len(hash) != 64 {
		return false
	}
	return strings.Trim(hash, "0123456789abcdef") == ""
}

// names checks that all names of a list are valid and none is repeated.
func (c *checker) names(field string, names []string) {
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		switch {
		case !ValidName(name):
			c.Add(field, name, "names of a-z, 0-9, '.', '_' and '-'")
		case seen[name]:
			c.Add(field, name, "each name once")
		}
		seen[name] = true
	}
}
