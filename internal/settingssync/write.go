package settingssync

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/port"
)

// Status is the state of a write.
type Status string

// Values of Status.
const (
	Accepted    Status = "accepted"     // in force from the result's offset on
	Rejected    Status = "rejected"     // had no effect; the verdict says why
	NotAccepted Status = "not_accepted" // the log was unavailable; nothing was appended
	Unknown     Status = "unknown"      // may take effect; ask for the outcome of the operation later
)

// WriteRequest asks to set or delete a path. The caller has checked the value
// against the schema.
type WriteRequest struct {
	Operation string          // unique ID; empty for a new one
	Path      string          // see settings.ValidPath
	Value     json.RawMessage // JSON, empty with Delete
	Delete    bool
	IfVersion *int64 // version that the path must have, nil for any
	IfAbsent  bool   // the path must not exist
	Author    string
	Team      string
}

// WriteOutcome is the outcome of a write, as far as the node knows it.
type WriteOutcome struct {
	Status    Status
	Operation string
	Offset    int64            // of the record if known, else NoOffset
	Verdict   settings.Verdict // on the record if it was read back
	Reason    string           // why the write is not accepted, as text
}

// appendTimeout bounds one append.
const appendTimeout = 2 * time.Second

// reappendDelay is the shortest time for which a writer that lost the log's
// answer looks for its record before it appends the same record again.
const reappendDelay = 500 * time.Millisecond

// ErrNotReady reports that the node has no settings yet.
var ErrNotReady = errors.New("no settings yet")

// Put writes one path through the log and waits for the verdict until ctx ends.
// An operation that the node remembers is not written again. Put fails if the
// request is invalid or the node has no settings yet.
func (n *Node) Put(ctx context.Context, request WriteRequest) (WriteOutcome, error) {
	if request.Operation == "" {
		request.Operation = rand.Text()
	} else if decided, ok := n.store.decision(request.Operation); ok {
		return resultOf(decided), nil
	}
	write, result, err := n.prepare(ctx, request)
	if err != nil || result.Status != "" {
		return result, err
	}
	data, err := settings.EncodeRecord(settings.Record{Write: &write})
	if err != nil {
		return result, err
	}
	decision := n.store.subscribe(write.Operation)
	defer n.store.unsubscribe(write.Operation)
	return n.appendAndAwait(ctx, write, data, decision), nil
}

// prepare returns the write as of the newest snapshot, and checks the caller's
// condition against that snapshot. If the result has a status, there is nothing
// to append.
func (n *Node) prepare(ctx context.Context, request WriteRequest) (settings.Write, WriteOutcome, error) {
	result := WriteOutcome{Operation: request.Operation, Offset: settings.NoOffset}
	snapshot := n.snapshotFor(ctx, request)
	if snapshot == nil {
		return settings.Write{}, result, ErrNotReady
	}
	write := settings.Write{
		Operation: request.Operation,
		Path:      request.Path,
		Value:     request.Value,
		Deleted:   request.Delete,
		AsOf:      snapshot.Offset(),
		Author:    request.Author,
		Team:      request.Team,
	}
	if err := settings.CheckWrite(&write); err != nil {
		return write, result, err
	}
	if !conditionHolds(snapshot, request) {
		result.Status = Rejected
		result.Verdict = settings.StaleVersion
		result.Reason = "the path does not have the version asked for"
	}
	return write, result, nil
}

// snapshotFor returns the newest snapshot. It first waits, until ctx ends, for
// one that contains the version in the request's condition, which the caller may
// have read at another entry.
func (n *Node) snapshotFor(ctx context.Context, request WriteRequest) *settings.Snapshot {
	for {
		changed := n.Changed()
		snapshot := n.Snapshot()
		if request.IfVersion == nil || (snapshot != nil && snapshot.Offset() >= *request.IfVersion) {
			return snapshot
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return snapshot
		}
	}
}

// conditionHolds reports whether a snapshot meets the request's condition.
func conditionHolds(snapshot *settings.Snapshot, request WriteRequest) bool {
	entry, ok := snapshot.Get(request.Path)
	if request.IfAbsent && ok {
		return false
	}
	return request.IfVersion == nil || (ok && entry.Version == *request.IfVersion)
}

// appendAndAwait appends a record and waits for its verdict until ctx ends. It
// appends the same record again if an append has failed or may have failed.
func (n *Node) appendAndAwait(ctx context.Context, write settings.Write, data []byte, decision <-chan writeDecision) WriteOutcome {
	result := WriteOutcome{Operation: write.Operation, Offset: settings.NoOffset, Status: NotAccepted}
	for {
		offset, err := n.appendOnce(ctx, data)
		if err == nil {
			return n.awaitVerdict(ctx, write, offset, decision)
		}
		result.Reason = err.Error()
		wait := n.cfg.RetryDelay
		if !errors.Is(err, port.ErrNotAppended) {
			result.Status = Unknown
			wait = max(wait, reappendDelay)
		}
		select {
		case decided := <-decision:
			return resultOf(decided)
		case <-time.After(jitter(wait)):
		case <-ctx.Done():
			return result
		}
	}
}

// appendOnce appends a record. It waits for the answer up to appendTimeout even
// if ctx ends before, so that a refusal by the log is not mistaken for a
// lost answer.
func (n *Node) appendOnce(ctx context.Context, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), appendTimeout)
	defer cancel()
	return n.cfg.Log.Append(ctx, port.SettingsStream, [][]byte{data})
}

// awaitVerdict waits for the verdict on a record that was appended at an offset.
func (n *Node) awaitVerdict(ctx context.Context, write settings.Write, offset int64, decision <-chan writeDecision) WriteOutcome {
	for {
		changed := n.Changed()
		if result, ok := n.resultIfSkipped(write, offset); ok {
			return result
		}
		select {
		case decided := <-decision:
			return resultOf(decided)
		case <-changed:
		case <-ctx.Done():
			return WriteOutcome{Status: Unknown, Operation: write.Operation, Offset: offset, Reason: "appended but not read back"}
		}
	}
}

// resultIfSkipped returns the result of a write whose record is at offset, and
// false if the node is still below it. The node may have no decision, if a delta
// from a peer moved it past the record. The write was then accepted if the path
// has the record's offset as its version; otherwise the result is unknown.
func (n *Node) resultIfSkipped(write settings.Write, offset int64) (WriteOutcome, bool) {
	snapshot := n.Snapshot()
	if snapshot.Offset() < offset {
		return WriteOutcome{}, false
	}
	if decided, ok := n.store.decision(write.Operation); ok {
		return resultOf(decided), true
	}
	if entry, ok := snapshot.Get(write.Path); ok && entry.Version == offset {
		return resultOf(writeDecision{
			DecidedWrite: settings.DecidedWrite{Offset: offset, Write: write, Verdict: settings.Accepted},
		}), true
	}
	return WriteOutcome{
		Status: Unknown, Operation: write.Operation, Offset: offset,
		Reason: "the verdict was passed over while the log was away",
	}, true
}

// resultOf returns the result of a write that was read back. Accepted is final,
// since no other copy of the same write is accepted. A rejected copy is final
// only if the node can't have skipped an earlier one.
func resultOf(decided writeDecision) WriteOutcome {
	result := WriteOutcome{
		Status: Accepted, Operation: decided.Write.Operation, Offset: decided.Offset, Verdict: decided.Verdict,
	}
	switch {
	case decided.Verdict == settings.Accepted:
	case decided.noneSkipped:
		result.Status = Rejected
		result.Reason = string(decided.Verdict)
	default:
		result.Status = Unknown
		result.Reason = "an earlier landing may have been passed over"
	}
	return result
}

// Outcome returns the result of an earlier write by its operation ID. It searches
// the log if the node does not remember a final result.
func (n *Node) Outcome(ctx context.Context, operation string) (WriteOutcome, error) {
	if decided, ok := n.store.decision(operation); ok {
		if result := resultOf(decided); result.Status != Unknown {
			return result, nil
		}
	}
	result := WriteOutcome{Status: Unknown, Operation: operation, Offset: settings.NoOffset}
	loaded, err := loadFromLog(ctx, n.cfg.Log)
	if err != nil {
		result.Reason = "the log is away"
		return result, err
	}
	result.Reason = "not in the log since the last checkpoint"
	for _, decided := range loaded.decided {
		if decided.Write.Operation != operation {
			continue
		}
		result = resultOf(writeDecision{DecidedWrite: decided, noneSkipped: decided.Write.AsOf >= loaded.replayedFrom})
		if result.Status != Unknown {
			break
		}
	}
	return result, nil
}
