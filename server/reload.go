package server

import (
	"reflect"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/settings"
)

// Reload applies settings that were read again. Changed listen addresses and a changed address of
// the store take effect only after a restart. If err is not nil, the current settings are kept.
func (s *Server) Reload(next settings.Gateway, err error) {
	if err != nil {
		s.log.Error("invalid settings; keeping the current ones", zap.Error(err))
		return
	}
	s.reloading.Lock()
	defer s.reloading.Unlock()
	if reflect.DeepEqual(next, s.current()) {
		return
	}
	s.latest.Store(&next)
	s.log.Info("settings reloaded", zap.Strings("seeds", next.Fleet.Seeds), zap.Duration("hold_ms", next.Budgets.Hold.Std()))
}
