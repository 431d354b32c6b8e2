package cfcoord

// Policy turns decisions off, to measure what they bring.
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
	// ListByAge lists results by their age, whatever the deadline.
	ListByAge bool `json:"list_by_age"`
}
