package cfnode

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	cf "currantford"
)

const (
	// headerTimeout bounds the reading of a request's head; callers are told
	// three seconds.
	headerTimeout = 10 * time.Second
	// maxHeader is over what any configuration allows; targets judge less.
	maxHeader = 64 << 10
	// reapEvery is how often idle connections are looked through.
	reapEvery = 1 * time.Second
	// reapSlack is added to the configuration's idle limit: a caller may
	// send a request on a kept connection until the limit.
	reapSlack cf.Millis = 2000
	// defaultIdle holds until a configuration is known.
	defaultIdle cf.Millis = 60000
)

// Server is an HTTP server whose idle limit may change while it runs. Close
// waits until it has stopped.
type Server struct {
	http *http.Server
	idle func() cf.Millis

	mu    sync.Mutex
	since map[net.Conn]cf.Millis // idle connections
	stop  chan struct{}
	wg    sync.WaitGroup
}

// Serve listens on addr. idle tells the longest that a connection may be
// idle, zero when it is not known.
func Serve(addr string, h http.Handler, idle func() cf.Millis) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	s := &Server{idle: idle, since: map[net.Conn]cf.Millis{}, stop: make(chan struct{})}
	s.http = &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader, ConnState: s.track}
	s.wg.Go(func() { _ = s.http.Serve(ln) }) // ends with ErrServerClosed
	s.wg.Go(s.reap)
	return s, nil
}

func (s *Server) track(c net.Conn, st http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st == http.StateIdle {
		s.since[c] = cf.Uptime()
		return
	}
	delete(s.since, c)
}

// reap closes connections that were idle for longer than the limit.
func (s *Server) reap() {
	ticker := time.NewTicker(reapEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		limit := s.idle()
		if limit <= 0 {
			limit = defaultIdle
		}
		now := cf.Uptime()
		s.mu.Lock()
		for c, at := range s.since {
			if now-at > limit+reapSlack {
				_ = c.Close()
				delete(s.since, c)
			}
		}
		s.mu.Unlock()
	}
}

// Wind down: answers from now on close their connections.
func (s *Server) windDown() { s.http.SetKeepAlivesEnabled(false) }

// Shutdown stops listening and waits for the requests in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	close(s.stop)
	s.wg.Wait()
	return err
}
