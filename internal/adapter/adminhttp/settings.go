package adminhttp

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/core/settings"
)

// settingsPath returns the settings path in the request's URL.
func settingsPath(r request) (string, error) {
	path := "/" + r.PathValue("path")
	if _, err := schema.ParsePath(path); err != nil {
		return "", newProblem(CodeNotFound, fmt.Sprintf("path %.200q: %v", path, err))
	}
	return path, nil
}

func setting(entry settings.Entry) Setting {
	return Setting{Path: entry.Path, Version: entry.Version, Author: entry.Author, Value: entry.Value}
}

// entityTag returns the entity tag of a version.
func entityTag(version int64) string { return strconv.Quote(strconv.FormatInt(version, 10)) }

// get answers with the value alone; its version is the entity tag.
func (h *handler) get(w http.ResponseWriter, r request) error {
	path, err := settingsPath(r)
	if err != nil {
		return err
	}
	if !r.operator.mayRead(path) {
		return newProblem(CodeOutsideSubtree, outsideDetail(r.operator, path))
	}
	entry, ok := r.snapshot.Get(path)
	if !ok {
		return newProblem(CodeNotFound, "there is no "+path)
	}
	w.Header().Set("ETag", entityTag(entry.Version))
	w.Header().Set("X-Settings-Offset", strconv.FormatInt(r.snapshot.Offset(), 10))
	w.Header().Set("X-Settings-Author", entry.Author)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(slices.Clone(entry.Value), '\n'))
	return nil
}

// outsideDetail returns the problem detail for a path outside the operator's
// subtree.
func outsideDetail(o operator, path string) string {
	return fmt.Sprintf("operator %s is bound to what is below %s; %s is not", o.name, o.subtree, path)
}

// list answers with a page of settings below a prefix.
func (h *handler) list(r request) (any, error) {
	query := r.URL.Query()
	after := query.Get("after")
	limit, err := queryNumber(query.Get("limit"), maxListed, 1, maxListed)
	if err != nil {
		return nil, err
	}
	prefix := "/" + strings.Trim(query.Get("prefix"), "/")
	answer := List{Offset: r.snapshot.Offset(), Settings: []Setting{}}
	for _, entry := range r.snapshot.List(prefix) {
		if entry.Path <= after || !r.operator.mayRead(entry.Path) {
			continue
		}
		if int64(len(answer.Settings)) == limit {
			answer.Next = answer.Settings[limit-1].Path
			break
		}
		answer.Settings = append(answer.Settings, setting(entry))
	}
	return answer, nil
}

// queryNumber parses the value of a query parameter, which must be between low and
// high. An empty text gives the default.
func queryNumber(text string, defaultValue, low, high int64) (int64, error) {
	if text == "" {
		return defaultValue, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < low || value > high {
		return 0, newProblem(CodeBadRequest, fmt.Sprintf("%.40q: want %d to %d", text, low, high))
	}
	return value, nil
}

// history answers with the writes of a path that the entry remembers.
func (h *handler) history(r request) (any, error) {
	path := r.URL.Query().Get("path")
	if !r.operator.mayRead(path) {
		return nil, newProblem(CodeOutsideSubtree, outsideDetail(r.operator, path))
	}
	answer := History{Path: path, Changes: []Change{}}
	for _, decided := range h.cfg.Settings.History(path) {
		answer.Changes = append(answer.Changes, Change{
			Offset:    decided.Offset,
			Verdict:   string(decided.Verdict),
			Operation: decided.Write.Operation,
			Author:    decided.Write.Author,
			AsOf:      decided.Write.AsOf,
			Deleted:   decided.Write.Deleted,
			Value:     decided.Write.Value,
		})
	}
	return answer, nil
}

// teams answers with the teams that the operator may read.
func (h *handler) teams(r request) (any, error) {
	answer := Teams{Teams: []Team{}}
	for name, team := range r.catalog.Teams {
		subtree := "/teams/" + name
		if r.operator.mayRead(subtree) {
			answer.Teams = append(answer.Teams, Team{Name: name, Subtree: subtree, Team: team})
		}
	}
	slices.SortFunc(answer.Teams, func(a, b Team) int { return strings.Compare(a.Name, b.Name) })
	return answer, nil
}
