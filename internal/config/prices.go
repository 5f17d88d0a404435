package config

// Prices weigh the two losses that replica group control chooses between.
type Prices struct {
	DowntimeSecond float64 `json:"downtime_second"` // one replica group out of use for a second
	StrandedSecond float64 `json:"stranded_second"` // one accelerator idle in a broken group for a second
}

// DefaultPrices hold when the pool declares none.
var DefaultPrices = Prices{DowntimeSecond: 1, StrandedSecond: 1}
