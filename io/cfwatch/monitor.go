package cfwatch

import (
	"context"
	"errors"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfsite"
)

// monitoredStore reports to the site which calls the store answers, directly or through another
// instance.
type monitoredStore struct {
	cf.Store
	site *cfsite.Site
	log  *zap.Logger
}

// MonitorStore returns a Store that makes the calls of another one, and reports to the site which of
// them are answered. The site tells by them whether entries that vanish may have lapsed in an outage.
func MonitorStore(store cf.Store, site *cfsite.Site, log *zap.Logger) cf.Store {
	return &monitoredStore{store, site, log}
}

// ReportAnswer reports to the site that the store answered a call at the Uptime at, with its revision,
// zero if that is unknown. It logs an outage that this ends.
func ReportAnswer(site *cfsite.Site, rev cf.Revision, at cf.Millis, log *zap.Logger) {
	if outage := site.StoreAnswered(rev, at); outage > 0 {
		log.Info("store_outage_ended", zap.Int64("outage_ms", int64(outage)))
	}
}

// observe records the outcome of a call that began at the given time and may have waited for changes.
// rev is the store's revision that its answer states, zero if it states none.
func (s *monitoredStore) observe(ctx context.Context, began, wait cf.Millis, rev cf.Revision, err error) {
	now := cf.Uptime()
	switch {
	case err == nil, errors.Is(err, cf.ErrNotFound), errors.Is(err, cf.ErrConflict), errors.Is(err, cf.ErrHistoryGone):
		if err != nil {
			rev = 0 // the answer states at most the revision of an object
		}
		ReportAnswer(s.site, rev, now, s.log)
	case errors.Is(ctx.Err(), context.Canceled):
		// The caller has given the call up.
	case !errors.Is(err, cf.ErrUnavailable) && !errors.Is(err, cf.ErrRefused):
		// The call itself is faulty.
	case now-began < wait:
		s.site.StoreFailed(now) // No answer was due before the watch was cut off.
	default:
		s.site.StoreFailed(began)
	}
}

// Get implements cf.Store.
func (s *monitoredStore) Get(ctx context.Context, kind, name string) (cf.Record, error) {
	began := cf.Uptime()
	r, err := s.Store.Get(ctx, kind, name)
	s.observe(ctx, began, 0, 0, err)
	return r, err
}

// List implements cf.Store.
func (s *monitoredStore) List(ctx context.Context, kind string) (cf.Records, error) {
	began := cf.Uptime()
	r, err := s.Store.List(ctx, kind)
	s.observe(ctx, began, 0, r.Rev, err)
	return r, err
}

// Watch implements cf.Store.
func (s *monitoredStore) Watch(ctx context.Context, kind string, since cf.Revision, wait cf.Millis) (cf.Records, error) {
	began := cf.Uptime()
	r, err := s.Store.Watch(ctx, kind, since, wait)
	s.observe(ctx, began, wait, r.Rev, err)
	return r, err
}

// Create implements cf.Store.
func (s *monitoredStore) Create(ctx context.Context, kind, name string, spec any) (cf.Record, error) {
	began := cf.Uptime()
	r, err := s.Store.Create(ctx, kind, name, spec)
	s.observe(ctx, began, 0, r.Rev, err)
	return r, err
}

// Replace implements cf.Store.
func (s *monitoredStore) Replace(ctx context.Context, kind, name string, rev cf.Revision, spec any) (cf.Record, error) {
	began := cf.Uptime()
	r, err := s.Store.Replace(ctx, kind, name, rev, spec)
	s.observe(ctx, began, 0, r.Rev, err)
	return r, err
}

// SetStatus implements cf.Store.
func (s *monitoredStore) SetStatus(ctx context.Context, kind, name string, status any) error {
	began := cf.Uptime()
	err := s.Store.SetStatus(ctx, kind, name, status)
	s.observe(ctx, began, 0, 0, err)
	return err
}

// Delete implements cf.Store.
func (s *monitoredStore) Delete(ctx context.Context, kind, name string) error {
	began := cf.Uptime()
	err := s.Store.Delete(ctx, kind, name)
	s.observe(ctx, began, 0, 0, err)
	return err
}
