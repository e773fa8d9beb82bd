package skew

import (
	"github.com/pkg/errors"

	"quetzalbend/internal/core/balance"
)

// Options holds the parameters of one run.
type Options struct {
	Seed          uint64  `long:"seed" default:"1" description:"seed of the workload and the noise"`
	Ranks         int     `long:"ranks" default:"256" description:"ranks of the group"`
	Experts       int     `long:"experts" default:"256" description:"experts a layer"`
	Layers        int     `long:"layers" default:"2" description:"layers with experts"`
	SlotsPerRank  int     `long:"slots-per-rank" default:"2" description:"expert slots of each rank for a layer"`
	SpareSlots    int     `long:"spare-slots" default:"-1" description:"slots beyond one for each expert, spread over the ranks; replaces --slots-per-rank"`
	Steps         int     `long:"steps" default:"108000" description:"steps of the trace"`
	Drift         string  `long:"drift" default:"season" choice:"season" choice:"daily" choice:"shift" choice:"alternate" description:"how the load drifts"`
	Period        int     `long:"period" default:"0" description:"steps of a day, or of two alternating topics; 0 for half the trace, or a third"`
	Transition    int     `long:"transition-steps" default:"4000" description:"steps that one of two alternating topics takes to give way to the other"`
	Spread        float64 `long:"spread" default:"1" description:"standard deviation of the log popularity of experts"`
	TopicWeight   float64 `long:"topic-weight" default:"0.5" description:"part of the variance of popularity that belongs to the topic, 0 to 1"`
	Straggler     bool    `long:"straggler" description:"one rank at half speed for the middle third of the trace"`
	Lag           int     `long:"lag" default:"50" description:"age of a load report in steps"`
	Noise         float64 `long:"noise" default:"0.03" description:"standard deviation of a reported load, relative"`
	ReportSteps   int     `long:"report-steps" default:"25" description:"steps between load reports"`
	IntervalSteps int     `long:"interval-steps" default:"250" description:"steps between plans"`
	StoreRate     float64 `long:"weight-store-bytes-per-second" default:"10e9" description:"rate of the weight store for the group"`
	CopyRate      float64 `long:"copy-bytes-per-second" default:"25e9" description:"rate at which a rank takes staged weights in when a map is activated"`
	ExpertBytes   float64 `long:"expert-bytes" default:"44e6" description:"weights of one expert of a layer"`
	StepMS        float64 `long:"step-ms" default:"40" description:"step time of a perfectly balanced group"`
	StallMS       float64 `long:"stall-ms" default:"2" description:"stall of the group when a map is activated"`
	Slowdown      float64 `long:"transfer-slowdown" default:"0.02" description:"part by which steps slow down while weights are fetched"`
	Live          bool    `long:"live" description:"run the planner also through the agents' map protocol, on loopback"`
	LiveStepUS    int     `long:"live-step-us" default:"200" description:"time of a step of the live run in microseconds"`
	LeadSteps     int     `long:"lead-steps" default:"100" description:"steps from an order to hold to the change, live"`
	JSON          bool    `long:"json" description:"print JSON"`
	Plot          string  `long:"plot" value-name:"FILE.svg" description:"draw the skew over the trace"`
}

func (o *Options) check() error {
	switch {
	case min(o.Ranks, o.Experts, o.Layers) < 1:
		return errors.New("--ranks, --experts and --layers must be at least 1")
	case o.ReportSteps < 1 || o.IntervalSteps < o.ReportSteps:
		return errors.New("--report-steps must be at least 1, --interval-steps no less than it")
	case o.Steps < o.IntervalSteps || o.LeadSteps < 1:
		return errors.New("--steps must be at least --interval-steps, --lead-steps at least 1")
	case min(float64(o.Lag), o.Noise, float64(o.Period)) < 0:
		return errors.New("--lag, --noise and --period must not be negative")
	case min(o.StoreRate, o.CopyRate, o.StepMS) <= 0:
		return errors.New("rates and --step-ms must be positive")
	case o.LiveStepUS < 1:
		return errors.New("--live-step-us must be at least 1")
	case o.TopicWeight < 0 || o.TopicWeight > 1:
		return errors.New("--topic-weight must be from 0 to 1")
	}
	return nil
}

func (o *Options) slots() int {
	if o.SpareSlots >= 0 {
		return o.Experts + o.SpareSlots
	}
	return o.Ranks * o.SlotsPerRank
}

func (o *Options) period() int {
	switch {
	case o.Period > 0:
		return o.Period
	case o.Drift == driftAlternate:
		return max(1, o.Steps/alternations)
	default:
		return max(1, o.Steps/2)
	}
}

// lookaheadReports returns the number of report intervals from the step that a
// report describes to the middle of the interval in which the plan made from it
// is used.
func (o *Options) lookaheadReports() float64 {
	return (float64(o.Lag) + float64(o.IntervalSteps)/2) / float64(o.ReportSteps)
}

// balance returns the planner's configuration for the options.
func (o *Options) balance() balance.Config {
	cfg := balance.DefaultConfig()
	cfg.LookaheadReports = o.lookaheadReports()
	cfg.StallMS = o.StallMS
	cfg.MSPerMove = o.ExpertBytes / o.CopyRate * msPerSecond
	cfg.ExpertBytes = o.ExpertBytes
	cfg.MSPerByte = o.Slowdown / o.StoreRate * msPerSecond
	return cfg
}
