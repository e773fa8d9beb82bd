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

// Status says what became of a write.
type Status string

// Values of Status.
const (
	Accepted    Status = "accepted"     // in force, at the result's offset
	Rejected    Status = "rejected"     // the path has changed; see the verdict
	NotAccepted Status = "not_accepted" // the log was away; nothing was appended
	Unknown     Status = "unknown"      // may be in the log; ask for its operation later
)

// WriteRequest asks to set or delete a path. The caller has checked the value
// against the schema.
type WriteRequest struct {
	Operation string          // unique id; empty for a new one
	Path      string          // see settings.ValidPath
	Value     json.RawMessage // JSON, empty with Delete
	Delete    bool
	IfVersion *int64 // version that the path must have, nil for any
	IfAbsent  bool   // the path must not exist
	Author    string
	Team      string
}

// WriteResult of a write.
type WriteResult struct {
	Status    Status
	Operation string
	Offset    int64            // of the record if it was read back, else NoOffset
	Verdict   settings.Verdict // of the record if it was read back
	Reason    string
}

// appendTimeout bounds one append.
const appendTimeout = 2 * time.Second

// answerGrace is how long a writer looks for its record after a lost answer
// before it appends the same record again.
const answerGrace = 500 * time.Millisecond

// ErrNotReady reports that the node has no settings yet.
var ErrNotReady = errors.New("no settings yet")

// Put writes one path through the log and waits until ctx ends for the verdict.
// An operation that the node remembers is not written again.
// The error reports a request that can't be written at all.
func (n *Node) Put(ctx context.Context, request WriteRequest) (WriteResult, error) {
	if request.Operation == "" {
		request.Operation = rand.Text()
	} else if judged, ok := n.store.verdict(request.Operation); ok {
		return judgedResult(judged), nil
	}
	write, result, err := n.prepare(ctx, request)
	if err != nil || result.Status != "" {
		return result, err
	}
	data, err := settings.EncodeRecord(settings.Record{Write: &write})
	if err != nil {
		return result, err
	}
	verdict := n.store.await(write.Operation)
	defer n.store.forgo(write.Operation)
	return n.appendAndAwait(ctx, write, data, verdict), nil
}

// prepare fills in what the node has read and checks the caller's condition
// against the same state. A result with a status ends the write.
func (n *Node) prepare(ctx context.Context, request WriteRequest) (settings.Write, WriteResult, error) {
	result := WriteResult{Operation: request.Operation, Offset: settings.NoOffset}
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

// snapshotFor returns the newest snapshot. It waits for one that contains the
// version that the request names, which another entry may have shown.
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

// conditionHolds checks the version that the caller asks for.
func conditionHolds(snapshot *settings.Snapshot, request WriteRequest) bool {
	entry, ok := snapshot.Get(request.Path)
	if request.IfAbsent && ok {
		return false
	}
	return request.IfVersion == nil || (ok && entry.Version == *request.IfVersion)
}

// appendAndAwait appends a record, again with the same content where that may
// have failed, until its verdict is known or ctx ends.
func (n *Node) appendAndAwait(ctx context.Context, write settings.Write, data []byte, verdict <-chan judgement) WriteResult {
	result := WriteResult{Operation: write.Operation, Offset: settings.NoOffset, Status: NotAccepted}
	for {
		at, err := n.appendOnce(ctx, data)
		if err == nil {
			return n.awaitVerdict(ctx, write, at, verdict)
		}
		result.Reason = err.Error()
		wait := n.cfg.RetryDelay
		if !errors.Is(err, port.ErrNotAppended) {
			result.Status = Unknown
			wait = max(wait, answerGrace)
		}
		select {
		case judged := <-verdict:
			return judgedResult(judged)
		case <-time.After(jitter(wait)):
		case <-ctx.Done():
			return result
		}
	}
}

// appendOnce appends a record. It outlasts ctx a little, so that a refusal by
// the log is not taken for a lost answer.
func (n *Node) appendOnce(ctx context.Context, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), appendTimeout)
	defer cancel()
	return n.cfg.Log.Append(ctx, port.SettingsStream, [][]byte{data})
}

// awaitVerdict waits for the verdict on a record that landed at an offset.
func (n *Node) awaitVerdict(ctx context.Context, write settings.Write, at int64, verdict <-chan judgement) WriteResult {
	for {
		changed := n.Changed()
		if result, ok := n.passedOver(write, at); ok {
			return result
		}
		select {
		case judged := <-verdict:
			return judgedResult(judged)
		case <-changed:
		case <-ctx.Done():
			return WriteResult{Status: Unknown, Operation: write.Operation, Offset: at, Reason: "appended but not read back"}
		}
	}
}

// passedOver gives the result where the node reached an offset at or above a
// record's by an update from a peer and so has not judged the record itself.
func (n *Node) passedOver(write settings.Write, at int64) (WriteResult, bool) {
	snapshot := n.Snapshot()
	if snapshot.Offset() < at {
		return WriteResult{}, false
	}
	if judged, ok := n.store.verdict(write.Operation); ok {
		return judgedResult(judged), true
	}
	if entry, ok := snapshot.Get(write.Path); ok && entry.Version == at {
		return judgedResult(judgement{
			DecidedWrite: settings.DecidedWrite{Offset: at, Write: write, Verdict: settings.Accepted},
		}), true
	}
	return WriteResult{
		Status: Unknown, Operation: write.Operation, Offset: at,
		Reason: "the verdict was passed over while the log was away",
	}, true
}

// judgedResult is the result of a write that was read back. An accepted landing
// is certain: no other of the same write is accepted.
func judgedResult(judged judgement) WriteResult {
	result := WriteResult{
		Status: Accepted, Operation: judged.Write.Operation, Offset: judged.Offset, Verdict: judged.Verdict,
	}
	switch {
	case judged.Verdict == settings.Accepted:
	case judged.first:
		result.Status = Rejected
		result.Reason = string(judged.Verdict)
	default:
		result.Status = Unknown
		result.Reason = "an earlier landing may have been passed over"
	}
	return result
}

// Outcome tells what became of an earlier write by its operation id. It looks
// through the log where the node does not remember the operation for certain.
func (n *Node) Outcome(ctx context.Context, operation string) (WriteResult, error) {
	if judged, ok := n.store.verdict(operation); ok {
		if result := judgedResult(judged); result.Status != Unknown {
			return result, nil
		}
	}
	result := WriteResult{Status: Unknown, Operation: operation, Offset: settings.NoOffset}
	again, err := loadFromLog(ctx, n.cfg.Log)
	if err != nil {
		result.Reason = "the log is away"
		return result, err
	}
	result.Reason = "not in the log since the last checkpoint"
	for _, judged := range again.judged {
		if judged.Write.Operation != operation {
			continue
		}
		result = judgedResult(judgement{DecidedWrite: judged, first: judged.Write.AsOf >= again.from})
		if result.Status != Unknown {
			break
		}
	}
	return result, nil
}
