package cfcoord

import (
	cf "currantford"
)

// Policy turns decisions off, to measure what they bring, and weighs trainers.
type Policy struct {
	// KeepSlowRuns leaves runs on engines that have turned slow.
	KeepSlowRuns bool `json:"keep_slow_runs"`
	// NoSlowPeriods moves runs by smoothed paces alone, however long engines were
	// observed to stay slow.
	NoSlowPeriods bool `json:"no_slow_periods"`
	// LongOnSlow starts long texts at slow engines too.
	LongOnSlow bool `json:"long_on_slow"`
	// SwapWhenIdle loads weights only when nothing waits that an engine
	// could run.
	SwapWhenIdle bool `json:"swap_when_idle"`
	// NoTextCopies keeps no copies of texts at a neighbour, NoTextStore
	// none in the store.
	NoTextCopies bool `json:"no_text_copies"`
	NoTextStore  bool `json:"no_text_store"`
	// NoRewardHedges asks one target at a time for a reward.
	NoRewardHedges bool `json:"no_reward_hedges"`
	// AllRewardSlots lets reward calls take a target's last slots.
	AllRewardSlots bool `json:"all_reward_slots"`
	// AnyGroups takes any groups for those that a trainer waits for.
	AnyGroups bool `json:"any_groups"`
	// AllGroups works on all groups of a step at once, whatever can be whole in time.
	AllGroups bool `json:"all_groups"`
	// LeastLeft puts groups of a step off for those with less left as soon as the step
	// can't be whole in time, and not only where it would be much too late.
	LeastLeft bool `json:"least_left"`
	// LoadUnderRuns lets an engine load weights while it runs what a trainer waits for.
	LoadUnderRuns bool `json:"load_under_runs"`
	// NoRefusals accepts steps of which no group could be whole in time.
	NoRefusals bool `json:"no_refusals"`
	// ShareWeights are what models' shares of the engines count for against their work; 1
	// where not given.
	ShareWeights map[cf.ModelName]float64 `json:"share_weights"`
	// ListByAge lists results by their age, whatever the deadline.
	ListByAge bool `json:"list_by_age"`
}
