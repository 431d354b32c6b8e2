package cfcoord

import (
	"go.uber.org/zap"

	cf "currantford"
	"currantford/io/cflog"
)

// maxVersionTimes is how many versions of a model are remembered with the time at
// which they were named; samples are a version or two behind.
const maxVersionTimes = 16

// versionTimes remembers when versions of models were named, as this instance saw it.
type versionTimes map[cf.ModelName]map[cf.WeightVersion]cf.Millis

// record takes a model's newest version.
func (n versionTimes) record(m cf.ModelName, v cf.WeightVersion, now cf.Millis) {
	if n[m] == nil {
		n[m] = map[cf.WeightVersion]cf.Millis{}
	}
	if _, known := n[m][v]; known {
		return
	}
	n[m][v] = now
	delete(n[m], v-maxVersionTimes)
}

// supersededFor returns how long ago the version after v was named, false where
// it was before this instance looked.
func (n versionTimes) supersededFor(m cf.ModelName, v cf.WeightVersion, now cf.Millis) (cf.Millis, bool) {
	at, ok := n[m][v+1]
	return now - at, ok
}

// measureListed measures what was listed of a batch since the last call: how stale
// each sample is when its trainer can first read it, and how long the trainer
// waited for as much as it asked for, which is its idle time. c.mu is held.
func (c *Coordinator) measureListed(st *batchState) {
	now := cf.Uptime()
	sub := &st.batch.Sub
	for _, r := range st.batch.ListedFrom(st.measured) {
		st.measured++
		if len(r.Versions) == 0 {
			continue // given up
		}
		oldest := r.Versions[0]
		for _, v := range r.Versions {
			oldest = min(oldest, v)
		}
		behind := c.planner.LatestVersion(sub.Model) - oldest
		st.maxStaleness = max(st.maxStaleness, behind)
		c.Metrics.StaleVersions.WithLabelValues(string(sub.Model)).Observe(float64(behind))
		age := cf.Millis(0)
		if behind > 0 {
			var known bool
			if age, known = c.versionTimes.supersededFor(sub.Model, oldest, now); !known {
				continue
			}
		}
		c.Metrics.StaleSeconds.WithLabelValues(string(sub.Model)).Observe(float64(age) / 1000)
	}
	enough := st.batch.Complete() || sub.TargetGroups > 0 && st.batch.EnoughGroups(nil)
	if st.served || !enough {
		return
	}
	st.served = true
	waited := cf.Now() - sub.Accepted
	c.Metrics.StepWait.WithLabelValues(string(sub.Model)).Observe(float64(waited) / 1000)
	c.Log.Info("step_served", cflog.Batch(sub.ID), zap.String("model", string(sub.Model)),
		zap.Int64("step", sub.Step), zap.Int64("waited_ms", int64(waited)), zap.Int("groups_whole", st.batch.CompleteGroups()),
		zap.Int64("stalest_versions", int64(st.maxStaleness)))
}
