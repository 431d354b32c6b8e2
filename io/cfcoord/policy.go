package cfcoord

import (
	cf "currantford"
)

// Policy disables single decisions, to measure their effect, and sets the weights of models.
type Policy struct {
	// KeepSlowRuns leaves runs on engines that have become slow.
	KeepSlowRuns bool `json:"keep_slow_runs"`
	// NoSlowPeriods moves runs by smoothed event times alone, without regard to the observed
	// duration of slow periods.
	NoSlowPeriods bool `json:"no_slow_periods"`
	// LongOnSlow starts long texts at slow engines too.
	LongOnSlow bool `json:"long_on_slow"`
	// SwapWhenIdle loads weights only if no item waits that an engine could run.
	SwapWhenIdle bool `json:"swap_when_idle"`
	// NoTextCopies disables the copies of texts at a peer, and NoTextStore those in the store.
	NoTextCopies bool `json:"no_text_copies"`
	NoTextStore  bool `json:"no_text_store"`
	// NoRewardHedges sends each reward call to one target at a time.
	NoRewardHedges bool `json:"no_reward_hedges"`
	// AllRewardSlots lets reward calls use the last free slots of a target too.
	AllRewardSlots bool `json:"all_reward_slots"`
	// AnyGroups counts any complete groups towards those that a trainer waits for.
	AnyGroups bool `json:"any_groups"`
	// AllGroups works on all groups of a step at once, whether or not they can be complete in time.
	AllGroups bool `json:"all_groups"`
	// LeastLeft defers groups of a step in favour of those with less work left as soon as the step
	// cannot be complete in time, and not only if it would be much too late.
	LeastLeft bool `json:"least_left"`
	// LoadUnderRuns lets an engine load weights while it runs items that a trainer waits for.
	LoadUnderRuns bool `json:"load_under_runs"`
	// NoRefusals accepts steps in which no group could be complete in time.
	NoRefusals bool `json:"no_refusals"`
	// ShareWeights holds the weight of each model's share of the engines, relative to the model's
	// work. The default is 1.
	ShareWeights map[cf.ModelName]float64 `json:"share_weights"`
	// ListByAge lists results by their age, without regard to the deadline.
	ListByAge bool `json:"list_by_age"`
}
