package settings

import (
	"encoding/json"
	"math"
	"time"
)

// Milliseconds is a number of milliseconds. Its JSON may have any form of a number, such as 2.5e3 for two and a half seconds.
type Milliseconds int64

// UnmarshalJSON implements json.Unmarshaler. Parts of a millisecond are rounded.
func (m *Milliseconds) UnmarshalJSON(b []byte) error {
	var number float64
	if err := json.Unmarshal(b, &number); err != nil {
		return err
	}
	*m = Milliseconds(math.Round(number))
	return nil
}

func (m Milliseconds) duration() time.Duration { return time.Duration(m) * time.Millisecond }
