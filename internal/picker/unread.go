package picker

import "time"

// unread is what this node has sent to a group and whose first event has not arrived.
type unread struct {
	requests int
	tokens   float64 // of their prompts
	squares  float64 // sum of the squares of the lengths of these prompts, in tokens
}

func (u *unread) add(tokens float64) {
	u.requests++
	u.tokens += tokens
	u.squares += tokens * tokens
}

func (u *unread) remove(tokens float64) {
	if u.requests--; u.requests <= 0 {
		*u = unread{} // without the rounding errors of earlier sums
		return
	}
	u.tokens = max(0, u.tokens-tokens)
	u.squares = max(0, u.squares-tokens*tokens)
}

// promptTokens returns the length of the request's prompt in tokens; the mean of the model's recent prompts if it is unknown, and
// at least 1.
func (p *Picker) promptTokens(w *Requirements, now time.Time) float64 {
	if w.PromptTokens > 0 {
		return float64(w.PromptTokens)
	}
	if a := p.arrivals[w.Model]; a != nil {
		if mix := a.rates(now); mix.PerSecond > 0 {
			return max(1, mix.Tokens/mix.PerSecond)
		}
	}
	return 1
}

// clearUnread stops counting the place's prompt as unread. Further calls have no effect. The caller holds the Picker's lock.
func (p *Place) clearUnread(h *health) {
	if p.unreadTokens > 0 {
		h.unread.remove(p.unreadTokens)
		p.picker.unreadByModel[p.model]--
		p.unreadTokens = 0
	}
}
