package share

// Of returns the part of a limit that the member with this rank has. The parts of all
// members add up to total. The members with the lowest ranks have one more than the rest.
func Of(total, members, rank int) int {
	return WithHeadroom(total, members, 0, rank)
}

// WithHeadroom is like Of, but the parts add up to no more than total even if up to
// headroom further members run that the others do not know of.
func WithHeadroom(total, members, headroom, rank int) int {
	if members <= 0 || total <= 0 {
		return 0
	}
	headroom = min(headroom, total/headroomDivisor)
	part, rest := total/(members+headroom), total%(members+headroom)
	// Each unknown member may take one of the rest while the member that has it goes on.
	if rank < rest-headroom {
		part++
	}
	return part
}

// headroomDivisor bounds the headroom, so that most of a small limit is divided.
const headroomDivisor = 4
