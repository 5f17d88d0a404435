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

// AddressList is the response body of /v1/which: the addresses that a caller may use.
type AddressList struct {
	Addresses  []Address `json:"addresses"`   // preferred ones first
	LifetimeMS int64     `json:"lifetime_ms"` // how long the caller may cache the answer
}

// Address is the address for callers of one entry VM.
type Address struct {
	Address    string `json:"address"`
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
}

// serveAddresses handles /v1/which: it lists the live members of this node's region that are not draining, those
// in this data centre first. Members in this data centre and the others are each shuffled, to spread callers
// over them.
func (s *Server) serveAddresses(ctx *fasthttp.RequestCtx) {
	now := clock.Now()
	self := s.Members.Self(now)
	live := slices.DeleteFunc(s.Members.Live(now), func(m membership.Member) bool { return m.Draining })
	if c := s.Current(); c != nil {
		region := c.Region(self.DataCentre)
		live = slices.DeleteFunc(live, func(m membership.Member) bool { return c.Region(m.DataCentre) != region })
	}
	if len(live) == 0 {
		unavailable("no address takes requests now", time.Second).write(ctx, requestID(ctx))
		return
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	slices.SortStableFunc(live, func(a, b membership.Member) int { return dataCentreDistance(a, self) - dataCentreDistance(b, self) })
	answer := AddressList{LifetimeMS: s.AddressLifetime.Milliseconds()}
	for _, m := range live {
		answer.Addresses = append(answer.Addresses, Address{m.CallerAddress, m.VM, m.DataCentre})
	}
	body, _ := json.Marshal(answer)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func dataCentreDistance(a, self membership.Member) int {
	if a.DataCentre == self.DataCentre {
		return 0
	}
	return 1
}
