package formation

// PlanFailure is why a plan is given up.
type PlanFailure string

const (
	// PlanRefused means that a member refused to join.
	PlanRefused PlanFailure = "a member refused to join"
	// PlanMemberGone means that a member is no longer listed.
	PlanMemberGone PlanFailure = "a member is no longer listed"
	// PlanMemberLeaving means that a member drains.
	PlanMemberLeaving PlanFailure = "a member is leaving"
	// PlanMemberSilent means that a member does not answer.
	PlanMemberSilent PlanFailure = "a member does not answer"
	// PlanHeadBroken means that the group was not ready in time and that its head is broken.
	PlanHeadBroken PlanFailure = "the head is broken"
	// PlanNotReady means that the group was not ready in time for no known reason.
	PlanNotReady PlanFailure = "the group did not become ready in time"
)
