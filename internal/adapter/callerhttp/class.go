package callerhttp

import "quetzalbend/internal/core/schema"

// Priorities of the classes; larger is more urgent.
const (
	priorityBatch       = 10
	priorityInteractive = 20
	priorityCertificate = 30
)

func priority(class schema.Class) int32 {
	switch class {
	case schema.Certificate:
		return priorityCertificate
	case schema.Batch:
		return priorityBatch
	case schema.Interactive:
	}
	return priorityInteractive
}

// classFor returns the class of a request: the class of the workload or route,
// lowered to the class of the account if that is less urgent.
func classFor(wanted, allowed schema.Class) schema.Class {
	if wanted == "" {
		wanted = schema.Interactive
	}
	if allowed != "" && priority(allowed) < priority(wanted) {
		return allowed
	}
	return wanted
}
