package expertmap

// choose decides from all ranks' promises what this ballot does: carry a
// decision on that some rank has followed, start a new epoch, cancel a change
// that nobody has followed, or propose.
func (c *Coordinator) choose() {
	newest := c.newest()
	switch {
	case c.behind(newest) && c.canCarry(newest):
		c.decision = newest.Last
		c.enter(PhaseConfirm)
	case c.behind(newest) || c.needsEpoch(newest):
		c.propose(newest, newest.Current, Hold{Now: true})
	case c.anyHeld():
		c.decision = c.cancel(newest.Last.Instance + 1)
		c.enter(PhaseConfirm)
	case c.start.Proposal != nil && c.inUse():
		c.proposed = true
		c.propose(newest, *c.start.Proposal, Hold{Step: c.lastStep() + c.start.LeadSteps})
	default:
		c.phase = PhaseDone
	}
}

// newest returns the state of a rank that has followed most decisions.
func (c *Coordinator) newest() *EngineState {
	best := c.states[0]
	for _, s := range c.states {
		if s.Last.Instance > best.Last.Instance {
			best = s
		}
	}
	return best
}

func (c *Coordinator) behind(newest *EngineState) bool {
	for _, s := range c.states {
		if s.Last.Instance < newest.Last.Instance {
			return true
		}
	}
	return false
}

// canCarry reports whether each rank that has not followed the newest decision
// still can: it holds for it, or it is in the same epoch and the decision is
// cancel. A replaced engine cannot.
func (c *Coordinator) canCarry(newest *EngineState) bool {
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

// needsEpoch reports whether some engine has not started the newest epoch.
func (c *Coordinator) needsEpoch(newest *EngineState) bool {
	for _, s := range c.states {
		if s.Epoch == 0 || s.Epoch != newest.Epoch {
			return true
		}
	}
	return false
}

func (c *Coordinator) anyHeld() bool {
	for _, s := range c.states {
		if s.Held != nil {
			return true
		}
	}
	return false
}

// inUse reports whether all ranks have begun the step of the last change: an
// engine keeps one coming map only.
func (c *Coordinator) inUse() bool {
	for _, s := range c.states {
		if s.Last.Activate && s.Step <= s.Last.Step {
			return false
		}
	}
	return true
}

// lastStep returns the newest step that any rank has told of.
func (c *Coordinator) lastStep() int64 {
	last := int64(0)
	for _, s := range c.states {
		last = max(last, s.Step)
	}
	return last
}

// propose stages a map under the next version and then holds. An epoch also
// gets a version of its own, so that no two maps share one.
func (c *Coordinator) propose(newest *EngineState, next Map, hold Hold) {
	instance := newest.Last.Instance + 1
	c.next = Map{Version: instance, Payload: next.Payload}
	hold.Instance, hold.Version = instance, instance
	c.hold = hold
	c.enter(PhaseStage)
}

// activate is the decision once all ranks hold.
func (c *Coordinator) activate() Decision {
	d := Decision{
		Instance: c.hold.Instance,
		Activate: true,
		Map:      c.next,
		Step:     c.hold.Step,
		Epoch:    c.newestEpoch(),
	}
	if c.hold.Now {
		d.Step = c.lastStep() + 1
		d.Epoch++
	}
	return d
}

func (c *Coordinator) cancel(instance int64) Decision {
	return Decision{Instance: instance, Epoch: c.newestEpoch()}
}

func (c *Coordinator) newestEpoch() int64 {
	newest := int64(0)
	for _, s := range c.states {
		newest = max(newest, s.Epoch)
	}
	return newest
}
