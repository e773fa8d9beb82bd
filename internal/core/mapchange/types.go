package mapchange

// Rank is what one rank of a group reports.
type Rank struct {
	Target    string // address of the rank's target
	Group     string
	Epoch     int64
	Index     int // of the rank in its group
	Size      int // number of ranks in the group
	Open      bool
	Step      int64 // last step that has begun
	Sequence  int64 // orders accepted since the rank's start, without those of a map change
	Version   int64 // of the map in force
	Prepared  int64 // version of the prepared map; 0: none
	Armed     int64 // version of the map to switch to at ArmedStep; 0: none
	ArmedStep int64
	Held      int64 // step that may not begin; 0: none
	Busy      bool  // an order is being carried out
	Born      int64 // start of the rank, in Unix milliseconds
	Running   int
	Queued    int
	Pace      float64 // inverse of the rank's speed; 1: usual speed, above 1: slower
	Counts    []int64 // how often requests have chosen each expert since the rank's start, by set and expert
	// Touched is set if the state is from after an order with this leader's token that the
	// rank has accepted. No order of an earlier leader can have changed the rank since.
	Touched       bool
	HoldConfirmed bool // the rank has accepted a hold of this leader since it reported its state
}

// Operation is what an order asks of a rank.
type Operation string

// Operations of an order.
const (
	Prepare Operation = "prepare" // load the experts of a map
	Arm     Operation = "arm"     // switch to a prepared map at a step
	Disarm  Operation = "disarm"
	Hold    Operation = "hold" // keep the group from beginning a step
	Release Operation = "go"   // release the held step
)

// Order is an order to one rank.
type Order struct {
	Operation Operation
	Rank      int // index into the ranks given to Next
	Version   int64
	Step      int64
}
