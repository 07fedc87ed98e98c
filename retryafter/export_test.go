package retryafter

// Sizes returns the number of episodes and of rates that a planner keeps.
func (p *Planner) Sizes() (episodes, ends int) { return len(p.episodes), len(p.ends) }
