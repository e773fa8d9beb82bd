package mapchange

// Rank is what one rank of a group reports.
type Rank struct {
	Target    string // address of the rank's target
	Group     string
	Epoch     int64
	Index     int // of the rank in its group
	Size      int // ranks of the group
	Open      bool
	Step      int64 // last pass that was begun
	Sequence  int64 // orders accepted since the rank's start
	Version   int64 // of the map in force
	Prepared  int64 // version; 0: none
	Armed     int64 // version; 0: none
	ArmedStep int64
	Held      int64 // pass that may not begin; 0: none
	Busy      bool  // an order is being carried out
	Born      int64 // start of the rank, in Unix milliseconds
	Running   int
	Queued    int
	Pace      float64 // over 1: slower than usual
	Counts    []int64 // by set and expert, since the rank's start
	Touched   bool    // it has accepted an order with this leader's token
}

// Operation is what an order asks of a rank.
type Operation string

// Operations.
const (
	Prepare Operation = "prepare" // copy the experts of a map
	Arm     Operation = "arm"     // switch to a prepared map at a pass
	Disarm  Operation = "disarm"
	Hold    Operation = "hold" // keep the group from beginning a pass
	Release Operation = "go"   // release a hold
)

// Order is an order to one rank.
type Order struct {
	Operation Operation
	Rank      int // index into the ranks given to Next
	Version   int64
	Step      int64
}
