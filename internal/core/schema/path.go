package schema

import (
	"strings"

	"github.com/pkg/errors"
)

// Kind is the kind of a settings path; it decides the type of its value.
type Kind string

// Kinds of path.
const (
	KindDomain   Kind = "domain"
	KindOperator Kind = "operator"
	KindTarget   Kind = "target"
	KindGroup    Kind = "group"
	KindTeam     Kind = "team"
	KindAccount  Kind = "account"
	KindModel    Kind = "model"
	KindWorkload Kind = "workload"
	KindService  Kind = "service"
)

// maxNameBytes is the highest length of one name in a path.
const maxNameBytes = 128

// The path segment of each kind, at the top and below a team.
var (
	topSegments = map[string]Kind{
		"domains":   KindDomain,
		"operators": KindOperator,
		"targets":   KindTarget,
		"groups":    KindGroup,
		"teams":     KindTeam,
	}
	teamSegments = map[string]Kind{
		"accounts":  KindAccount,
		"models":    KindModel,
		"workloads": KindWorkload,
		"services":  KindService,
		"targets":   KindTarget,
		"groups":    KindGroup,
	}
)

// Path is a parsed settings path.
type Path struct {
	Kind Kind
	Team string // team that owns the path; empty outside of teams
	Name string
}

// String returns the path as text.
func (p Path) String() string {
	segments := topSegments
	prefix := "/"
	if p.Team != "" && p.Kind != KindTeam {
		segments = teamSegments
		prefix = "/teams/" + p.Team + "/"
	}
	for segment, kind := range segments {
		if kind == p.Kind {
			return prefix + segment + "/" + p.Name
		}
	}
	return ""
}

// ErrPath is returned for paths that cannot hold a setting.
var ErrPath = errors.New("want /domains/NAME, /operators/NAME, /targets/NAME, /groups/NAME, /teams/TEAM " +
	"or /teams/TEAM/accounts|models|workloads|services|targets|groups/NAME, each name of a-z, 0-9, '.', '_' and '-'")

// ParsePath returns the kind and names of a settings path. The error is ErrPath.
func ParsePath(path string) (Path, error) {
	rest, rooted := strings.CutPrefix(path, "/")
	top, rest, ok := strings.Cut(rest, "/")
	kind := topSegments[top]
	if !rooted || !ok || kind == "" {
		return Path{}, ErrPath
	}
	name, rest, inner := strings.Cut(rest, "/")
	if !ValidName(name) {
		return Path{}, ErrPath
	}
	if !inner {
		return topPath(kind, name), nil
	}
	if kind != KindTeam {
		return Path{}, ErrPath
	}
	segment, innerName, ok := strings.Cut(rest, "/")
	kind = teamSegments[segment]
	if !ok || kind == "" || !ValidName(innerName) {
		return Path{}, ErrPath
	}
	return Path{Kind: kind, Team: name, Name: innerName}, nil
}

// topPath returns the path of a kind that is not below a team. A team owns its
// own path.
func topPath(kind Kind, name string) Path {
	if kind == KindTeam {
		return Path{Kind: kind, Team: name, Name: name}
	}
	return Path{Kind: kind, Name: name}
}

// ValidName reports whether name may be used as a name in a path.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameBytes || name[0] == '.' {
		return false
	}
	for _, c := range []byte(name) {
		if !validNameByte(c) {
			return false
		}
	}
	return true
}

func validNameByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', '0' <= c && c <= '9':
		return true
	default:
		return c == '.' || c == '_' || c == '-'
	}
}
