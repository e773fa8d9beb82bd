package fleet

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/adminhttp"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/pause"
)

const (
	settingsTimeout = 10 * time.Second
	unlimited       = 10000 // concurrent requests at an agent without admission control
	workloadTimeout = 10000 // milliseconds
	serviceTimeout  = 10000 // milliseconds
	maxAnswerBytes  = 4 << 10
)

// settingsWriter writes settings through the administration API of one entry.
type settingsWriter struct {
	base   string
	client *http.Client
	offset int64 // of the last write
}

// putSettings writes the initial settings through the first entry.
func (f *Fleet) putSettings(ctx context.Context) error {
	f.settings = &settingsWriter{
		base:   f.entries[0].operators + adminhttp.Prefix,
		client: &http.Client{Timeout: settingsTimeout},
	}
	for !f.Balancer.ready(ctx, f.entries[0].operators+"/readyz") {
		if !pause.For(ctx, readyPoll) {
			return errors.Wrap(ctx.Err(), "wait for the first entry")
		}
	}
	for _, setting := range f.initialSettings() {
		if err := f.settings.put(ctx, setting.path, setting.value); err != nil {
			return err
		}
	}
	return nil
}

type setting struct {
	path  string
	value any
}

func (f *Fleet) initialSettings() []setting {
	var all []setting
	add := func(path string, value any) { all = append(all, setting{path, value}) }
	for _, domain := range f.cfg.Domains {
		add("/domains/"+domain, schema.Domain{State: schema.In})
	}
	add("/teams/"+Team, schema.Team{Share: 1})
	add("/teams/"+Team+"/accounts/account", schema.Account{TokenSHA256: digest(accountToken)})
	add("/teams/"+Team+"/accounts/other", schema.Account{TokenSHA256: digest(OtherToken)})
	add("/teams/"+Team+"/models/"+modelName, schema.Model{Versions: []string{"1"}})
	for workload, class := range map[string]schema.Class{Drafts: schema.Interactive, Batch: schema.Batch} {
		add("/teams/"+Team+"/workloads/"+workload, schema.Workload{
			Model: modelName, Version: "1", Class: class, TimeoutMS: workloadTimeout,
		})
	}
	if f.cfg.Services > 0 {
		add("/teams/"+Team+"/services/"+ServiceName, schema.Service{TimeoutMS: serviceTimeout, Routes: []schema.Route{
			{Method: http.MethodGet, PathPrefix: "/status", Idempotent: true, Class: schema.Interactive},
			{Method: http.MethodPost, PathPrefix: "/confirm", Class: schema.Certificate},
		}})
	}
	for _, agent := range f.agents {
		add("/targets/"+agent.name, f.target(agent))
	}
	return all
}

// target returns the settings of an agent's target.
func (f *Fleet) target(agent *agentProcess) schema.Target {
	target := schema.Target{
		Agent: agent.addr, FailureDomain: agent.domain, Kind: agent.kind, Team: Team,
		Serves: []string{modelName}, State: schema.In, ColdLimit: unlimited, MaxLimit: unlimited,
	}
	if agent.kind == schema.ServiceTarget {
		target.Serves = []string{ServiceName}
		return target
	}
	if f.cfg.Admission {
		target.ColdLimit, target.MaxLimit, target.Queue = max(f.cfg.Engine.ColdLimit, 1), f.cfg.MaxLimit, f.cfg.Queue
	}
	return target
}

// SetDomain sets a failure domain in or out and returns the time at which the
// setting was accepted. It writes through an entry of another domain.
func (f *Fleet) SetDomain(ctx context.Context, domain string, state schema.AdminState) (time.Time, error) {
	for _, e := range f.entries {
		if e.domain != domain {
			f.settings.base = e.operators + adminhttp.Prefix
			break
		}
	}
	err := f.settings.put(ctx, "/domains/"+domain, schema.Domain{State: state})
	return time.Now(), err
}

func (w *settingsWriter) put(ctx context.Context, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode %s", path)
	}
	response, err := w.do(ctx, http.MethodPut, "settings"+path, body)
	if err != nil {
		return errors.Wrapf(err, "put %s", path)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrapf(err, "put %s", path)
	}
	if response.StatusCode/100 != 2 {
		return errors.Errorf("put %s: status %d: %s", path, response.StatusCode, text)
	}
	var written struct {
		Offset int64 `json:"offset"`
	}
	if err := json.Unmarshal(text, &written); err != nil {
		return errors.Wrapf(err, "put %s", path)
	}
	w.offset = written.Offset
	return nil
}

// awaitInForce waits until every node has the last write in force.
func (w *settingsWriter) awaitInForce(ctx context.Context) error {
	for {
		response, err := w.do(ctx, http.MethodGet, "in-force?offset="+strconv.FormatInt(w.offset, 10), nil)
		if err != nil {
			return errors.Wrap(err, "query settings in force")
		}
		var answer adminhttp.InForce
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err != nil {
			return errors.Wrap(err, "query settings in force")
		}
		if answer.InForce {
			return nil
		}
		if !pause.For(ctx, readyPoll) {
			return errors.Errorf("settings are not in force at %d nodes, including %v", len(answer.Missing), answer.Missing[0].Name)
		}
	}
}

func (w *settingsWriter) do(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, w.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	return w.client.Do(request)
}

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
