package ranklink

import (
	"quetzalbend/internal/core/expertplan"
	"quetzalbend/internal/core/mapchange"
	"quetzalbend/internal/wire"
	"quetzalbend/platform"
)

func encodeRank(rank mapchange.Rank, placement [][]int32) *wire.RankState {
	state := &wire.RankState{
		Group: rank.Group, Epoch: rank.Epoch, Index: int32(rank.Index), Size: int32(rank.Size), Open: rank.Open,
		Step: rank.Step, Sequence: rank.Sequence, Version: rank.Version, Prepared: rank.Prepared,
		Armed: rank.Armed, ArmedStep: rank.ArmedStep, Held: rank.Held, Busy: rank.Busy, Born: rank.Born,
		Running: int32(rank.Running), Queued: int32(rank.Queued), Pace: rank.Pace, Counts: rank.Counts,
	}
	for _, experts := range placement {
		state.Placed = append(state.Placed, &wire.RankPlaces{Experts: experts})
	}
	return state
}

func decodeRank(state *wire.RankState) (mapchange.Rank, [][]int32) {
	rank := mapchange.Rank{
		Group: state.Group, Epoch: state.Epoch, Index: int(state.Index), Size: int(state.Size), Open: state.Open,
		Step: state.Step, Sequence: state.Sequence, Version: state.Version, Prepared: state.Prepared,
		Armed: state.Armed, ArmedStep: state.ArmedStep, Held: state.Held, Busy: state.Busy, Born: state.Born,
		Running: int(state.Running), Queued: int(state.Queued), Pace: state.Pace, Counts: state.Counts,
	}
	var placement [][]int32
	for _, set := range state.Placed {
		placement = append(placement, set.Experts)
	}
	return rank, placement
}

func encodeOrder(order platform.RankOrder) *wire.RankOrder {
	encoded := &wire.RankOrder{
		Operation: string(order.Operation), Version: order.Version, Step: order.Step,
		Epoch: order.Epoch, Expected: order.Expected, Token: order.Token, Sets: int32(len(order.Map)),
	}
	for _, ranks := range order.Map {
		for _, experts := range ranks {
			encoded.Map = append(encoded.Map, &wire.RankPlaces{Experts: experts})
		}
	}
	return encoded
}

func decodeOrder(encoded *wire.RankOrder) platform.RankOrder {
	order := platform.RankOrder{
		Order: mapchange.Order{Operation: mapchange.Operation(encoded.Operation), Version: encoded.Version, Step: encoded.Step},
		Epoch: encoded.Epoch, Expected: encoded.Expected, Token: encoded.Token,
	}
	if encoded.Sets == 0 {
		return order
	}
	ranks := len(encoded.Map) / int(encoded.Sets)
	order.Map = make(expertplan.Map, encoded.Sets)
	for s := range order.Map {
		for r := range ranks {
			order.Map[s] = append(order.Map[s], encoded.Map[s*ranks+r].Experts)
		}
	}
	return order
}
