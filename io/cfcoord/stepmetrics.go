package cfcoord

import (
	"go.uber.org/zap"

	cf "currantford"
	"currantford/io/cflog"
)

// maxVersionTimes is the number of versions of a model whose publication times are remembered.
// Samples are a version or two behind.
const maxVersionTimes = 16

// versionTimes holds the times at which versions of models were published, as observed by this
// instance.
type versionTimes map[cf.ModelName]map[cf.WeightVersion]cf.Millis

// record records the latest version of a model.
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

// supersededFor returns the time since the version after v was published, or false if that was
// before this instance began to observe.
func (n versionTimes) supersededFor(m cf.ModelName, v cf.WeightVersion, now cf.Millis) (cf.Millis, bool) {
	at, ok := n[m][v+1]
	return now - at, ok
}

// measureListed measures the results listed since the last call: the staleness of each sample at
// the time from which its trainer can read it, and the time that the trainer waited for the results
// that it asked for, in which it is idle. c.mu is held.
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
