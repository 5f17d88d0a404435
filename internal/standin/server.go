package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is an HTTP server on loopback that can be killed, frozen and restarted at the same address.
type Server struct {
	Address string
	handler http.Handler

	mu     sync.Mutex
	http   *http.Server
	frozen chan struct{} // non-nil while frozen
}

// StartServer serves handler at address; with port 0 the kernel chooses the port.
func StartServer(address string, handler http.Handler) (*Server, error) {
	s := &Server{Address: address, handler: handler}
	return s, s.Start()
}

// Start listens at Address; after Kill it restarts the server.
func (s *Server) Start() error {
	lis, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	s.Address = lis.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	s.mu.Lock()
	s.http = server
	s.mu.Unlock()
	go func() {
		if err := server.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	return nil
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.WaitWhileFrozen(r.Context())
	s.handler.ServeHTTP(w, r)
}

// Kill closes the listener and all connections.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		_ = s.http.Close()
		s.http = nil
	}
}

// Freeze holds all responses, as a paused VM does, or releases them if on is false.
func (s *Server) Freeze(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case on && s.frozen == nil:
		s.frozen = make(chan struct{})
	case !on && s.frozen != nil:
		close(s.frozen)
		s.frozen = nil
	}
}

// isRunning reports whether the server has not been killed. It may be frozen.
func (s *Server) isRunning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.http != nil
}

// isFrozen reports whether the server is frozen and has not been killed.
func (s *Server) isFrozen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.http != nil && s.frozen != nil
}

// WaitWhileFrozen blocks until the server is not frozen or ctx is done.
func (s *Server) WaitWhileFrozen(ctx context.Context) {
	s.mu.Lock()
	frozen := s.frozen
	s.mu.Unlock()
	if frozen == nil {
		return
	}
	select {
	case <-frozen:
	case <-ctx.Done():
	}
}
