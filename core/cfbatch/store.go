package cfbatch

import (
	"context"
	"errors"

	cf "currantford"
)

// Create writes a batch to the store. Once it returns nil, the batch is durable. The parts are
// written before the head, because a head without its parts would be a batch that can't be run.
// cf.ErrConflict means that the same batch was written before. valueBytes is the store's limit for
// the size of one object.
func Create(ctx context.Context, store cf.Store, sub cf.Submission, valueBytes int64) error {
	head, parts, err := Split(sub, valueBytes)
	if err != nil {
		return err
	}
	for i, p := range parts {
		_, err := store.Create(ctx, cf.KindParts(sub.ID), PartName(i), p)
		if err != nil && !errors.Is(err, cf.ErrConflict) {
			return err
		}
	}
	_, err = store.Create(ctx, cf.KindBatch, string(sub.ID), head)
	return err
}

// Fetch builds a batch from its object, and reads items and results that are in other objects from
// the store. If results is false, it reads only the items.
func Fetch(ctx context.Context, store cf.Store, object cf.Record, results bool) (*Batch, error) {
	head, err := DecodeHead(object)
	if err != nil {
		return nil, err
	}
	if head.Parts > 0 {
		parts, err := store.List(ctx, cf.KindParts(head.ID))
		if err != nil {
			return nil, err
		}
		if head, err = Join(head, parts.Items); err != nil {
			return nil, err
		}
	}
	b := New(head)
	b.Ended = Ended(object)
	if !results {
		return b, nil
	}
	chunks, err := store.List(ctx, cf.KindResults(head.ID))
	if err != nil {
		return nil, err
	}
	return b, b.ApplyAll(chunks.Items)
}
