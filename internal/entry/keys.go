package entry

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/once"
)

// keyPrefix is the answer of /v1/keys.
type keyPrefix struct {
	Prefix     string `json:"prefix"`      // put a slash and a unique text behind it
	LifetimeMS int64  `json:"lifetime_ms"` // use it for that long
}

// keyLifetime is how long callers may make keys from one prefix.
const keyLifetime = 5 * time.Minute

// keys hands out the prefix of idempotency keys whose home is this process.
func (s *Server) keys(c *call) *failure {
	if !c.ctx.IsPost() {
		return notRun(fasthttp.StatusMethodNotAllowed, "use POST")
	}
	self := s.Members.Self(clock.Now())
	prefix := once.Prefix(self.VM, self.Incarnation, s.Once.SinceStart())
	body, _ := json.Marshal(keyPrefix{prefix, keyLifetime.Milliseconds()})
	c.ctx.SetContentType("application/json")
	c.ctx.SetBody(body)
	return nil
}
