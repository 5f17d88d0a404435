package entry

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/once"
)

// keyPrefix is the response body of /v1/keys.
type keyPrefix struct {
	Prefix     string `json:"prefix"`      // a key is the prefix, a slash and a unique text
	LifetimeMS int64  `json:"lifetime_ms"` // how long new keys may be made from the prefix
}

// keyLifetime is how long callers may make new keys from one prefix.
const keyLifetime = 5 * time.Minute

// keys handles /v1/keys: it issues a prefix for idempotency keys whose home is this process, the only one that
// may run their requests.
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
