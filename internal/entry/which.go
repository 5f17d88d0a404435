package entry

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/membership"
)

// Which is the answer to which address to use.
type Which struct {
	Addresses  []Address `json:"addresses"`   // best first
	LifetimeMS int64     `json:"lifetime_ms"` // keep the answer that long, then ask again
}

// Address is one entry VM's address for callers.
type Address struct {
	Address    string `json:"address"`
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
}

// which names the live members that are not draining, those of this data centre first and each part in
// a new random order, so that callers spread over them.
func (s *Server) which(ctx *fasthttp.RequestCtx) {
	now := clock.Now()
	self := s.Members.Self(now)
	live := slices.DeleteFunc(s.Members.Live(now), func(m membership.Member) bool { return m.Draining })
	if c := s.Current(); c != nil {
		region := c.Region(self.DataCentre)
		live = slices.DeleteFunc(live, func(m membership.Member) bool { return c.Region(m.DataCentre) != region })
	}
	if len(live) == 0 {
		notRunYet("no address takes requests now", time.Second).write(ctx, requestID(ctx))
		return
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	slices.SortStableFunc(live, func(a, b membership.Member) int { return distance(a, self) - distance(b, self) })
	answer := Which{LifetimeMS: s.AddressLifetime.Milliseconds()}
	for _, m := range live {
		answer.Addresses = append(answer.Addresses, Address{m.CallerAddress, m.VM, m.DataCentre})
	}
	body, _ := json.Marshal(answer)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func distance(a, self membership.Member) int {
	if a.DataCentre == self.DataCentre {
		return 0
	}
	return 1
}
