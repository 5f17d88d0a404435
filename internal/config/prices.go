package config

// Prices weigh the two kinds of loss against each other when the repair of a replica group has to choose between them.
type Prices struct {
	DowntimeSecond float64 `json:"downtime_second"` // price of one replica group being out of use for a second
	StrandedSecond float64 `json:"stranded_second"` // price of one accelerator being idle in a broken group for a second
}

// DefaultPrices apply if the pool declares none.
var DefaultPrices = Prices{DowntimeSecond: 1, StrandedSecond: 1}
