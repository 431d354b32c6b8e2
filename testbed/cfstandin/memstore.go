package cfstandin

import (
	"context"
	"encoding/json"
	"sort"
	"sync"

	cf "currantford"
)

// MemStore is an object store in memory, for tests of one package. It is safe
// for concurrent use.
type MemStore struct {
	mu      sync.Mutex
	rev     cf.Revision
	objects map[string]map[string]cf.Record
}

var _ cf.Store = (*MemStore)(nil)

// NewMemStore returns an empty store.
func NewMemStore() *MemStore { return &MemStore{objects: map[string]map[string]cf.Record{}} }

// Get implements currantford.Store.
func (s *MemStore) Get(_ context.Context, kind, name string) (cf.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.objects[kind][name]
	if !ok {
		return cf.Record{}, cf.ErrNotFound
	}
	return r, nil
}

// List implements currantford.Store.
func (s *MemStore) List(_ context.Context, kind string) (cf.Records, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := cf.Records{Rev: s.rev}
	for _, r := range s.objects[kind] {
		out.Items = append(out.Items, r)
	}
	sort.Slice(out.Items, func(i, j int) bool { return out.Items[i].Name < out.Items[j].Name })
	return out, nil
}

// Watch implements currantford.Store without waiting: it returns what lies
// there and is newer than since. Removals are not shown.
func (s *MemStore) Watch(ctx context.Context, kind string, since cf.Revision, _ cf.Millis) (cf.Records, error) {
	all, err := s.List(ctx, kind)
	out := cf.Records{Rev: all.Rev}
	for _, r := range all.Items {
		if r.Rev > since {
			out.Items = append(out.Items, r)
		}
	}
	return out, err
}

// Create implements currantford.Store.
func (s *MemStore) Create(_ context.Context, kind, name string, spec any) (cf.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.objects[kind][name]; ok {
		return r, cf.ErrConflict
	}
	return s.put(kind, cf.Record{Name: name}, spec)
}

// Replace implements currantford.Store.
func (s *MemStore) Replace(_ context.Context, kind, name string, rev cf.Revision, spec any) (cf.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.objects[kind][name]
	switch {
	case !ok:
		return cf.Record{}, cf.ErrNotFound
	case r.Rev != rev:
		return r, cf.ErrConflict
	}
	return s.put(kind, r, spec)
}

// SetStatus implements currantford.Store.
func (s *MemStore) SetStatus(_ context.Context, kind, name string, status any) error {
	raw, err := json.Marshal(status)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.objects[kind][name]
	if !ok {
		return cf.ErrNotFound
	}
	r.Status = raw
	s.rev++
	r.Rev = s.rev
	s.objects[kind][name] = r
	return nil
}

// Delete implements currantford.Store.
func (s *MemStore) Delete(_ context.Context, kind, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[kind][name]; !ok {
		return cf.ErrNotFound
	}
	s.rev++
	delete(s.objects[kind], name)
	return nil
}

func (s *MemStore) put(kind string, r cf.Record, spec any) (cf.Record, error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return cf.Record{}, err
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]cf.Record{}
	}
	s.rev++
	r.Rev, r.Spec = s.rev, raw
	s.objects[kind][r.Name] = r
	return r, nil
}
