// Package cflog creates the project's loggers, which write JSON lines with zap. Each line carries
// the component and the instance id. Routing and placement decisions are logged by the code that
// makes them, one line each, with the message "decision".
//
// Usage:
//
//	log := cflog.New("entry", "entry-1")
//	defer log.Sync()
//	log.Info("decision", zap.Any("decision", d))
package cflog

import (
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	cf "currantford"
)

// New returns a logger on standard error.
func New(component, id string) *zap.Logger {
	enc := zap.NewProductionEncoderConfig()
	enc.TimeKey = "ts_ms"
	enc.EncodeTime = zapcore.EpochMillisTimeEncoder
	enc.MessageKey = "msg"
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), zapcore.Lock(os.Stderr), zap.InfoLevel)
	return zap.New(core).With(zap.String("component", component), zap.String("id", id))
}

// NewStdout returns a logger on standard output that never blocks, and its writer, which must be
// closed at the end.
func NewStdout(component, id string) (*zap.Logger, *AsyncWriter) {
	w := NewAsyncWriter(os.Stdout)
	enc := zap.NewProductionEncoderConfig()
	enc.TimeKey = "ts_ms"
	enc.EncodeTime = zapcore.EpochMillisTimeEncoder
	enc.MessageKey = "msg"
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), w, zap.InfoLevel)
	return zap.New(core).With(zap.String("component", component), zap.String("id", id)), w
}

// Batch returns the fields of a batch: the id that its submitter chose, and its organisation.
func Batch(id cf.BatchID) zap.Field { return zap.Inline(batchFields(id)) }

type batchFields cf.BatchID

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (b batchFields) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	id := cf.BatchID(b)
	enc.AddString("batch_id", id.Unscoped())
	if o := id.Organisation(); o != "" {
		enc.AddString("organisation", string(o))
	}
	return nil
}

// Error returns the field of an error's message. zap.Error would add the stack trace recorded by
// eris, which is longer than all other fields together.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
