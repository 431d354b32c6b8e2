package cfstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/older/cfconfig"
)

const (
	fetchWait   = 2 * time.Second
	retryPause  = 300 * time.Millisecond
	callTimeout = fetchWait + 8*time.Second
)

type (
	// TrainerReport holds the measurements of a trainer stand-in: its idle time, the staleness of
	// its samples, and the results of the delivery checks.
	TrainerReport struct {
		Trainer    string `json:"trainer"`
		Steps      int    `json:"steps"`
		Samples    int    `json:"samples"`
		Duplicates int    `json:"duplicates"`
		// Unattributed is the number of samples without a weight version.
		Unattributed int `json:"unattributed"`
		// Idle is the time spent waiting for samples and for the acceptance of new weights, Busy
		// the time spent training.
		Idle         cf.Millis `json:"idle_ms"`
		Busy         cf.Millis `json:"busy_ms"`
		IdleFraction float64   `json:"idle_fraction"`
		// Staleness of the samples at delivery: the number of versions behind the pool's current
		// weights, and the time since the sample was scored.
		StaleVersionsMax cf.WeightVersion `json:"staleness_versions_max"`
		StaleAgeP50      cf.Millis        `json:"staleness_ms_p50"`
		StaleAgeMax      cf.Millis        `json:"staleness_ms_max"`
		SpanningSwap     int              `json:"samples_spanning_a_swap"`
		Retries          int              `json:"retries"`
	}

	trainer struct {
		settings    cfconfig.Trainer
		client      *http.Client
		entries     []string
		entryIndex  int
		log         *zap.Logger
		seenSamples map[cf.SampleID]bool
		ages        []cf.Millis
		report      TrainerReport
	}
)

// RunTrainer runs a trainer stand-in until its last step is done or ctx ends. It gets the list of
// entry instances from GET /v1/entries at bootstrap, and switches to the next entry instance after
// a failed call.
func RunTrainer(ctx context.Context, settings cfconfig.Trainer, bootstrap string, log *zap.Logger) (TrainerReport, error) {
	t := &trainer{settings: settings, client: &http.Client{Timeout: callTimeout}, entries: []string{bootstrap},
		log: log, seenSamples: map[cf.SampleID]bool{}, report: TrainerReport{Trainer: settings.Name}}
	t.refreshEntries(ctx)
	for step := 1; step <= settings.Steps && ctx.Err() == nil; step++ {
		start := time.Now()
		if err := t.collectStep(ctx); err != nil {
			return t.finalReport(), err
		}
		t.report.Idle += cf.MillisOf(time.Since(start))
		busy := time.Now()
		select {
		case <-time.After(settings.TrainTime.Duration()):
		case <-ctx.Done():
		}
		t.report.Busy += cf.MillisOf(time.Since(busy))
		// The time until new weights are accepted counts as idle, because the trainer is waiting
		// for the system and not training.
		published := time.Now()
		t.publishWeights(ctx, cf.WeightVersion(step))
		t.report.Idle += cf.MillisOf(time.Since(published))
		t.report.Steps = step
		log.Info("step completed", zap.Int("step", step), zap.Int("samples", t.report.Samples))
	}
	return t.finalReport(), ctx.Err()
}

func (t *trainer) finalReport() TrainerReport {
	r := t.report
	if total := r.Idle + r.Busy; total > 0 {
		r.IdleFraction = float64(r.Idle) / float64(total)
	}
	if len(t.ages) > 0 {
		sort.Slice(t.ages, func(i, j int) bool { return t.ages[i] < t.ages[j] })
		r.StaleAgeP50 = t.ages[len(t.ages)/2]
		r.StaleAgeMax = t.ages[len(t.ages)-1]
	}
	return r
}

// collectStep fetches and acknowledges batches until it has all samples of a step.
func (t *trainer) collectStep(ctx context.Context) error {
	got := 0
	for got < t.settings.StepSamples {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		batch, err := t.fetchSamples(ctx, t.settings.StepSamples-got)
		if err != nil {
			t.switchEntry(ctx, err)
			continue
		}
		if len(batch.Samples) == 0 {
			continue
		}
		if err := t.ack(ctx, batch.Cursor); err != nil {
			// The batch is not acknowledged, so its samples are not counted. The leader of the pool
			// delivers everything after the committed cursor again.
			t.switchEntry(ctx, err)
			continue
		}
		for _, s := range batch.Samples {
			t.recordSample(s, batch.Weights)
		}
		got += len(batch.Samples)
	}
	return nil
}

func (t *trainer) recordSample(s cf.Sample, current cf.WeightVersion) {
	if t.seenSamples[s.ID] {
		t.report.Duplicates++
	}
	t.seenSamples[s.ID] = true
	t.report.Samples++
	if len(s.Weights) == 0 {
		t.report.Unattributed++
		return
	}
	if len(s.Weights) > 1 {
		t.report.SpanningSwap++
	}
	t.report.StaleVersionsMax = max(t.report.StaleVersionsMax, current-s.Weights[0])
	t.ages = append(t.ages, s.Created.Since())
}

func (t *trainer) entryURL() string { return t.entries[t.entryIndex%len(t.entries)] }

func (t *trainer) switchEntry(ctx context.Context, err error) {
	t.report.Retries++
	t.log.Info("call failed, trying the next entry instance", zap.String("entry", t.entryURL()), zap.Error(err))
	t.entryIndex++
	if t.entryIndex%len(t.entries) == 0 {
		t.refreshEntries(ctx)
	}
	select {
	case <-time.After(retryPause):
	case <-ctx.Done():
	}
}

func (t *trainer) claimURL(suffix string) string {
	return fmt.Sprintf("%s/v1/pools/%s/claims/%s/%s", t.entryURL(), url.PathEscape(string(t.settings.Pool)), url.PathEscape(string(t.settings.Claim)), suffix)
}

func (t *trainer) fetchSamples(ctx context.Context, limit int) (cf.Batch, error) {
	var b cf.Batch
	u := t.claimURL("samples") + "?max=" + strconv.Itoa(limit) + "&wait_ms=" + strconv.FormatInt(fetchWait.Milliseconds(), 10)
	err := t.call(ctx, http.MethodGet, u, nil, &b)
	return b, err
}

// ack acknowledges a cursor. It repeats the call while the outcome is unknown, which is safe
// because acknowledgements are idempotent.
func (t *trainer) ack(ctx context.Context, cursor int64) error {
	body, _ := json.Marshal(struct {
		Cursor int64 `json:"cursor"`
	}{cursor})
	var err error
	for range 5 {
		var status int
		status, err = t.callStatus(ctx, http.MethodPost, t.claimURL("ack"), body, nil)
		if err == nil || status == http.StatusConflict || status == http.StatusBadRequest {
			return err
		}
		t.switchEntry(ctx, err)
	}
	return err
}

func (t *trainer) publishWeights(ctx context.Context, v cf.WeightVersion) {
	body, _ := json.Marshal(struct {
		Version cf.WeightVersion `json:"weight_version"`
	}{v})
	for range 10 {
		u := fmt.Sprintf("%s/v1/pools/%s/weights", t.entryURL(), url.PathEscape(string(t.settings.Pool)))
		err := t.call(ctx, http.MethodPost, u, body, nil)
		if err == nil {
			return
		}
		t.switchEntry(ctx, err)
	}
}

func (t *trainer) refreshEntries(ctx context.Context) {
	var list struct {
		Entries []struct {
			URL string `json:"url"`
		} `json:"entries"`
	}
	for _, base := range t.entries {
		if t.call(ctx, http.MethodGet, base+"/v1/entries", nil, &list) == nil && len(list.Entries) > 0 {
			t.entries = t.entries[:0]
			for _, e := range list.Entries {
				t.entries = append(t.entries, e.URL)
			}
			return
		}
	}
}

func (t *trainer) call(ctx context.Context, method, u string, body []byte, out any) error {
	_, err := t.callStatus(ctx, method, u, body, out)
	return err
}

func (t *trainer) callStatus(ctx context.Context, method, u string, body []byte, out any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := t.client.Do(req)
	if err != nil {
		return 0, eris.Wrapf(cf.ErrUnavailable, "%s %s: %v", method, u, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, eris.Errorf("%s %s: status %d", method, u, resp.StatusCode)
	}
	if out == nil {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(out)
}
