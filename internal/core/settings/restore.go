package settings

// Loss is what a log has lost that came back from an older copy of itself, as a node sees
// it that had read the lost records.
type Loss struct {
	Known   *Snapshot // settings in force before
	Lost    []Write   // writes that the log has no longer, in their order
	Present []Write   // writes that the log has and the node had not read before
	Next    int64     // offset of the log's next record
}

// Restore returns the records to append, in one call, so that the lost writes that were
// in force are in force again. A path that was written anew since then is left as it is.
// Their offsets end no lower than those of the lost records: readers that had read these
// ask for what follows them.
func (l *Loss) Restore() []Record {
	lost := make(map[string]bool, len(l.Lost)) // by operation
	for i := range l.Lost {
		lost[l.Lost[i].Operation] = true
	}
	var records []Record
	for _, write := range l.lastInForce() {
		if !l.writtenAnew(write, lost) {
			write.AsOf = l.Next - 1
			records = append(records, Record{Write: &write})
		}
	}
	for l.Next+int64(len(records)) <= l.Known.Offset() {
		records = append(records, Record{})
	}
	return records
}

// lastInForce returns, of the lost writes, those that were in force.
func (l *Loss) lastInForce() []Write {
	last := make(map[string]int)
	for i := range l.Lost {
		if l.inForce(&l.Lost[i]) {
			last[l.Lost[i].Path] = i
		}
	}
	var writes []Write
	for i := range l.Lost {
		if at, ok := last[l.Lost[i].Path]; ok && at == i {
			writes = append(writes, l.Lost[i])
		}
	}
	return writes
}

func (l *Loss) inForce(write *Write) bool {
	entry, ok := l.Known.Get(write.Path)
	if write.Deleted {
		return !ok
	}
	return ok && string(entry.Value) == string(write.Value)
}

// writtenAnew reports whether the log has the write again, or another one of its path that
// is not among the lost ones.
func (l *Loss) writtenAnew(write Write, lost map[string]bool) bool {
	for i := range l.Present {
		present := &l.Present[i]
		if present.Operation == write.Operation || present.Path == write.Path && !lost[present.Operation] {
			return true
		}
	}
	return false
}
