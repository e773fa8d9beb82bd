package checkpoint

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/memorylog"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/port"
	"quetzalbend/internal/settingssync"
)

const (
	hoursPerDay = 24
	teams       = 15
	appendBatch = 500
)

// Run measures both ways.
func (c *Command) Run(ctx context.Context) (Result, error) {
	if c.Accounts < 1 || c.ChangesPerDay < 1 || c.RetentionDays <= 0 || c.IntervalHours <= 0 || c.CarryPart <= 0 || c.CarryPart >= 1 {
		return Result{}, errors.New("checkpoint: all sizes must be above 0, carry-part also below 1")
	}
	result := Result{Seed: c.Seed, Accounts: c.Accounts, ChangesPerDay: c.ChangesPerDay}
	for _, measure := range []func(context.Context) (Cost, error){c.measureCheckpoints, c.measureCarrying} {
		cost, err := measure(ctx)
		if err != nil {
			return Result{}, err
		}
		result.Costs = append(result.Costs, cost)
	}
	return result, nil
}

// Populate appends one write for each account and returns the resulting state.
func Populate(ctx context.Context, log port.Log, accounts int) (*settings.State, error) {
	state := settings.NewState()
	batch := make([][]byte, 0, appendBatch)
	for i := range accounts {
		record := accountWrite(i, 0, state.Offset())
		data, err := settings.EncodeRecord(record)
		if err != nil {
			return nil, err
		}
		if _, err := state.Apply(state.Offset()+1, record); err != nil {
			return nil, err
		}
		batch = append(batch, data)
		if len(batch) == appendBatch || i == accounts-1 {
			if _, err := log.Append(ctx, port.SettingsStream, batch); err != nil {
				return nil, errors.Wrap(err, "populate settings")
			}
			batch = batch[:0]
		}
	}
	return state, nil
}

// accountWrite returns a record that writes an account's settings. Each revision
// has a different token.
func accountWrite(account, revision int, asOf int64) settings.Record {
	sum := sha256.Sum256(fmt.Appendf(nil, "token-%d-%d", account, revision))
	value, _ := json.Marshal(schema.Account{
		TokenSHA256: hex.EncodeToString(sum[:]),
		Limits:      schema.Limits{RequestsPerSecond: 5, TokensPerSecond: 2000, Concurrent: 8},
	})
	return settings.Record{Write: &settings.Write{
		Operation: hex.EncodeToString(sum[:13]),
		Path:      fmt.Sprintf("/teams/team-%02d/accounts/account-%05d", account%teams, account),
		Value:     value,
		AsOf:      asOf,
		Author:    "operator-1",
	}}
}

// appendChanges appends writes to random accounts and returns their total size.
// next is the offset of the first one.
func (c *Command) appendChanges(ctx context.Context, log port.Log, random *rand.Rand, count int, next int64) (int64, error) {
	var size int64
	for i := range count {
		data, err := settings.EncodeRecord(accountWrite(random.IntN(c.Accounts), i+1, next+int64(i)-1))
		if err != nil {
			return 0, err
		}
		size += int64(len(data))
		if _, err := log.Append(ctx, port.SettingsStream, [][]byte{data}); err != nil {
			return 0, err
		}
	}
	return size, nil
}

// measureCheckpoints measures checkpoints: a fresh reader reads the newest one
// and the changes of one interval after it.
func (c *Command) measureCheckpoints(ctx context.Context) (Cost, error) {
	log := memorylog.New(memorylog.Retention{})
	state, err := Populate(ctx, log, c.Accounts)
	if err != nil {
		return Cost{}, err
	}
	before := log.Totals()
	if _, err := settingssync.AppendCheckpoint(ctx, log, state, "e1"); err != nil {
		return Cost{}, err
	}
	after := log.Totals()
	chunks := after[port.CheckpointStream]
	closingRecordBytes := after[port.SettingsStream].Bytes - before[port.SettingsStream].Bytes
	log.ExpireBefore(port.SettingsStream, state.Offset()+1)

	perDay := hoursPerDay / c.IntervalHours
	perInterval := int(float64(c.ChangesPerDay) / perDay)
	random := rand.New(rand.NewPCG(c.Seed, 1))
	changeBytes, err := c.appendChanges(ctx, log, random, perInterval, after[port.SettingsStream].Next)
	if err != nil {
		return Cost{}, err
	}
	cost := Cost{
		Way:               "checkpoints",
		AppendsPerDay:     perDay * float64(chunks.Appends+1),
		BytesPerDay:       perDay * float64(chunks.Bytes+closingRecordBytes),
		FollowerBytesADay: perDay * float64(closingRecordBytes+changeBytes),
	}
	err = cost.measureStart(ctx, log, settingssync.Load)
	return cost, err
}

// measureCarrying measures the carrying of single records: each live record is
// appended again, with its version, before it expires. A fresh reader reads the
// whole retained log.
func (c *Command) measureCarrying(ctx context.Context) (Cost, error) {
	log := memorylog.New(memorylog.Retention{})
	if _, err := Populate(ctx, log, c.Accounts); err != nil {
		return Cost{}, err
	}
	carried := log.Totals()[port.SettingsStream]
	random := rand.New(rand.NewPCG(c.Seed, 1))
	changes := int(float64(c.ChangesPerDay) * c.RetentionDays)
	changeBytes, err := c.appendChanges(ctx, log, random, changes, carried.Next)
	if err != nil {
		return Cost{}, err
	}
	perDay := 1 / (c.CarryPart * c.RetentionDays)
	cost := Cost{
		Way:           "carry",
		AppendsPerDay: perDay * float64(carried.Appends),
		BytesPerDay:   perDay * float64(carried.Bytes),
	}
	cost.FollowerBytesADay = cost.BytesPerDay + float64(changeBytes)/c.RetentionDays
	err = cost.measureStart(ctx, log, replayAll)
	return cost, err
}

// measureStart measures what a fresh reader reads from the log, and its time.
func (cost *Cost) measureStart(ctx context.Context, log port.Log, load func(context.Context, port.Log) (*settings.Snapshot, error)) error {
	counter := &readCounter{Log: log}
	began := time.Now()
	snapshot, err := load(ctx, counter)
	if err != nil {
		return err
	}
	cost.StartMS = float64(time.Since(began).Microseconds()) / 1000
	cost.StartRecords, cost.StartBytes = counter.records, counter.bytes
	cost.StartPaths = snapshot.Len()
	return nil
}

// replayAll returns the state that results from all records in the log.
func replayAll(ctx context.Context, log port.Log) (*settings.Snapshot, error) {
	state := settings.NewState()
	for {
		page, err := log.Read(ctx, port.SettingsStream, state.Offset()+1, appendBatch, 0)
		if err != nil {
			return nil, err
		}
		if len(page.Records) == 0 {
			return state.Snapshot(), nil
		}
		for _, r := range page.Records {
			record, err := settings.DecodeRecord(r.Data)
			if err != nil {
				return nil, err
			}
			if _, err := state.Apply(r.Offset, record); err != nil {
				return nil, err
			}
		}
	}
}

// readCounter is a log that counts the records and bytes read from it.
type readCounter struct {
	port.Log
	records, bytes int64
}

// Read reads a page and counts its records.
func (c *readCounter) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (port.Page, error) {
	page, err := c.Log.Read(ctx, stream, from, limit, wait)
	for _, record := range page.Records {
		c.records++
		c.bytes += int64(len(record.Data))
	}
	return page, err
}
