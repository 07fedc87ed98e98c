package backend

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gaplink/gaplink/engine"
)

// Service is a stand-in for a plain service. It implements http.Handler.
type Service struct {
	*base
	mux   *http.ServeMux
	delay time.Duration
}

// NewService returns a service that waits delay before each response.
func NewService(delay time.Duration) *Service {
	s := &Service{base: newBase(), mux: http.NewServeMux(), delay: delay}
	s.routes(s.mux)
	s.mux.HandleFunc("POST /v1/services/{path...}", s.serve)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// ServiceAnswer returns the response body for a request body.
func ServiceAnswer(body []byte) string {
	return fmt.Sprintf(`{"seal":"%016x"}`, xxhash.Sum64(body))
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	attempt := r.Header.Get(engine.HeaderAttempt)
	_, fault := s.begin(attempt, Nonce(string(body)))
	s.setStatusHeaders(w)
	if fault == Refuse {
		w.Header().Set(engine.HeaderNotAccepted, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	if s.delay > 0 {
		time.Sleep(s.delay)
	}
	switch fault {
	case Stall:
		<-r.Context().Done()
		return
	case Cut:
		panic(http.ErrAbortHandler)
	case Foreign:
		attempt = "someone-else.1"
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(engine.HeaderAttempt, attempt)
	answer := ServiceAnswer(body)
	if fault == Unframed {
		disableFraming(w)
		answer = answer[:len(answer)/2]
	}
	_, _ = io.WriteString(w, answer)
}
