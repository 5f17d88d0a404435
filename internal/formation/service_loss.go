package formation

import "math"

// lossExponent shapes serviceLoss around a pressure of 1, at which the groups read and write at their bound and requests that
// arrive together delay each other. With 4 a model loses 16 % of its requests there, and 1.5 % at half of that pressure,
// up to which requests delay each other little.
const lossExponent = 4

// serviceLoss returns the part of a model's requests that are not served in time at the given pressure. The part served is a
// smooth minimum of 1 and of the part of the need that is met, 1/pressure.
func serviceLoss(pressure float64) float64 {
	if math.IsInf(pressure, 1) {
		return 1
	}
	return 1 - math.Pow(1+math.Pow(pressure, lossExponent), -1.0/lossExponent)
}
