package formation

import (
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

const (
	// conversionPressure is the pressure from which a model gets members of another model's groups.
	conversionPressure = 0.55
	// maxDonorPressure is the highest pressure that the model giving up groups may have afterwards.
	maxDonorPressure = 0.8
	// donorPressureRatio limits the pressure of the donor afterwards, as a fraction of the recipient's pressure. When both
	// are under pressure, a group that switches back and forth serves neither for two seconds each time. The limit may be
	// exceeded as long as the donor stays below the recipient's new pressure: where a group of sixteen has lost one
	// member, the fifteen that are left can serve again with four endpoints of the other model.
	donorPressureRatio = 0.75
	// minBenefitTimes is the least number of times the duration of a conversion for which its benefit must last, where loads are
	// short.
	minBenefitTimes = 3
)

// conversion is the end of some groups of one model, the donor, for a group of another, the recipient.
type conversion struct {
	recipient, donor               route.Model
	groups                         []*endpoint.Group
	recipientPresent, donorPresent pressures // by the need at present
	recipientPeak, donorPeak       pressures // by the highest need within one load time
	peakKnown                      bool      // the requests have been observed for one load time
	idleFraction                   float64   // part of the time that it lasts at least for which the endpoints serve neither model
}

// pressures are the pressures of a model before and after a conversion.
type pressures struct{ before, after float64 }

func (p pressures) doubled() pressures { return pressures{2 * p.before, 2 * p.after} }

// relief returns by how much the part of the requests that are not served in time falls.
func (p pressures) relief() float64 { return serviceLoss(p.before) - serviceLoss(p.after) }

// newConversion returns the conversion of the donor's groups. expected and have count endpoints by model, with and without
// the conversions under way.
func (p *Planner) newConversion(v *View, recipient, donor route.Model, groups []*endpoint.Group, expected, have map[string]int) *conversion {
	removed := len(groups) * donor.Size
	added := max(1, removed/recipient.Size) * recipient.Size
	after := map[string]int{recipient.Name: expected[recipient.Name] + added, donor.Name: have[donor.Name] - removed}
	compare := func(m route.Model, before map[string]int) (present, peak pressures) {
		now, highest := p.demand.present(v.Service.Engine, m), p.demand.peak(v.Service.Engine, m, v.Now)
		return pressures{pressureOf(now, m, before), pressureOf(now, m, after)}, pressures{pressureOf(highest, m, before), pressureOf(highest, m, after)}
	}
	c := &conversion{recipient: recipient, donor: donor, groups: groups, peakKnown: p.demand.peakKnown(v.Now)}
	duration := conversionTime(recipient)
	c.idleFraction = duration.Seconds() / max(longestLoad(v.Service.Engine), minBenefitTimes*duration).Seconds()
	c.recipientPresent, c.recipientPeak = compare(recipient, expected)
	c.donorPresent, c.donorPeak = compare(donor, have)
	return c
}

// allowed reports whether the recipient needs the groups and the donor can do without them, now and at the next peak. What a
// conversion gives up can be restored only by a load, so the peak within one load time counts as much as the present: groups
// ended between two waves, while both models had few requests, were missing 8 s later. A leader that does not know the peak
// yet assumes twice the donor's present pressure.
func (c *conversion) allowed() bool {
	if !c.peakKnown {
		return withinLimit(c.recipientPresent, c.donorPresent.doubled())
	}
	return withinLimit(c.recipientPresent, c.donorPresent) && c.netGain() > 0
}

// conversionTime is the time that ending a group and forming one of the model from its members may take.
func conversionTime(m route.Model) time.Duration { return drainTimeout + m.Warm + joinGrace }

// netGain returns the part of a model's requests that the conversion serves in time in addition, less the part that it costs
// the donor: the mean of that at the present need of both models and at their peaks. Parts of the models' requests are compared
// and not numbers of requests, which would give every group to the model with the shorter requests. The recipient gains
// nothing while its groups form.
func (c *conversion) netGain() float64 {
	gain := c.recipientPresent.relief() + c.recipientPeak.relief()
	cost := -c.donorPresent.relief() - c.donorPeak.relief()
	return (gain*(1-c.idleFraction) - cost) / 2
}

// withinLimit reports whether the recipient's pressure is high enough, and that of the donor low enough, for a conversion.
func withinLimit(recipient, donor pressures) bool {
	return recipient.before >= conversionPressure && donor.after <= min(maxDonorPressure, max(donorPressureRatio*recipient.before, recipient.after))
}

func (p *Planner) noteConversion(c *conversion) {
	names := make([]string, len(c.groups))
	for i, g := range c.groups {
		names[i] = g.Name
	}
	p.note("conversion", "", "recipient", c.recipient.Name, "donor", c.donor.Name, "groups", names, "domain", c.groups[0].Domain,
		"recipient_before", c.recipientPresent.before, "recipient_after", c.recipientPresent.after,
		"recipient_peak_before", c.recipientPeak.before, "recipient_peak_after", c.recipientPeak.after,
		"donor_before", c.donorPresent.before, "donor_after", c.donorPresent.after,
		"donor_peak_before", c.donorPeak.before, "donor_peak_after", c.donorPeak.after, "peak_known", c.peakKnown, "net_gain", c.netGain())
}
