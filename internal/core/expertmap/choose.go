package expertmap

// chooseAction chooses from the promises of all ranks what this ballot does:
// complete a decision that some rank has followed, start a new epoch, cancel a
// change that no rank has followed, or propose the configured map.
func (c *Coordinator) chooseAction() {
	newestState := c.newestState()
	switch {
	case c.anyBehind(newestState) && c.canComplete(newestState):
		c.decision = newestState.Last
		c.enter(PhaseConfirm)
	case c.anyBehind(newestState) || c.needsNewEpoch(newestState):
		c.propose(newestState, newestState.Current, Hold{Now: true})
	case c.anyHolding():
		c.decision = c.cancelDecision(newestState.Last.Instance + 1)
		c.enter(PhaseConfirm)
	case c.config.Proposal != nil && c.lastMapInUse():
		c.proposing = true
		c.propose(newestState, *c.config.Proposal, Hold{Step: c.newestStep() + c.config.LeadSteps})
	default:
		c.phase = PhaseDone
	}
}

// newestState returns the state of a rank that has followed the newest
// decision.
func (c *Coordinator) newestState() *EngineState {
	newest := c.states[0]
	for _, s := range c.states {
		if s.Last.Instance > newest.Last.Instance {
			newest = s
		}
	}
	return newest
}

// anyBehind reports whether some rank has not followed the newest decision.
func (c *Coordinator) anyBehind(newest *EngineState) bool {
	for _, s := range c.states {
		if s.Last.Instance < newest.Last.Instance {
			return true
		}
	}
	return false
}

// canComplete reports whether each rank that has not followed the newest
// decision still can: either it holds for that decision, or it is in the same
// epoch and the decision is a cancel. A replaced engine cannot.
func (c *Coordinator) canComplete(newest *EngineState) bool {
	for _, s := range c.states {
		if s.Last.Instance == newest.Last.Instance {
			continue
		}
		holds := s.Held != nil && s.Held.Instance == newest.Last.Instance
		cancels := !newest.Last.Activate && s.Epoch == newest.Epoch
		if !holds && !cancels {
			return false
		}
	}
	return true
}

// needsNewEpoch reports whether some engine is not in the newest epoch.
func (c *Coordinator) needsNewEpoch(newest *EngineState) bool {
	for _, s := range c.states {
		if s.Epoch == 0 || s.Epoch != newest.Epoch {
			return true
		}
	}
	return false
}

// anyHolding reports whether some engine has a hold.
func (c *Coordinator) anyHolding() bool {
	for _, s := range c.states {
		if s.Held != nil {
			return true
		}
	}
	return false
}

// lastMapInUse reports whether all ranks have begun the step at which the last
// map was activated. An engine can keep only one map that is not yet in use.
func (c *Coordinator) lastMapInUse() bool {
	for _, s := range c.states {
		if s.Last.Activate && s.Step <= s.Last.Step {
			return false
		}
	}
	return true
}

// newestStep returns the highest step that any rank has reported.
func (c *Coordinator) newestStep() int64 {
	newest := int64(0)
	for _, s := range c.states {
		newest = max(newest, s.Step)
	}
	return newest
}

// propose starts to stage a map under the next version, with the hold that is
// to follow. The map of a new epoch also gets a version of its own, so that no
// two maps share one.
func (c *Coordinator) propose(newest *EngineState, next Map, hold Hold) {
	instance := newest.Last.Instance + 1
	c.next = Map{Version: instance, Payload: next.Payload}
	hold.Instance, hold.Version = instance, instance
	c.hold = hold
	c.enter(PhaseStage)
}

// activateDecision returns the decision to activate the staged map, for when
// all ranks hold.
func (c *Coordinator) activateDecision() Decision {
	d := Decision{
		Instance: c.hold.Instance,
		Activate: true,
		Map:      c.next,
		Step:     c.hold.Step,
		Epoch:    c.newestEpoch(),
	}
	if c.hold.Now {
		d.Step = c.newestStep() + 1
		d.Epoch++
	}
	return d
}

func (c *Coordinator) cancelDecision(instance int64) Decision {
	return Decision{Instance: instance, Epoch: c.newestEpoch()}
}

func (c *Coordinator) newestEpoch() int64 {
	newest := int64(0)
	for _, s := range c.states {
		newest = max(newest, s.Epoch)
	}
	return newest
}
