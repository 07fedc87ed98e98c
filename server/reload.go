package server

import (
	"reflect"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/settings"
)

// Reload takes the settings file as it was read again. What concerns addresses
// needs a restart; an unreadable file changes nothing.
func (s *Server) Reload(next settings.Gateway, err error) {
	if err != nil {
		s.log.Error("settings not usable; the last ones stay in force", zap.Error(err))
		return
	}
	s.reloading.Lock()
	defer s.reloading.Unlock()
	if reflect.DeepEqual(next, s.settings) {
		return
	}
	s.settings = next
	s.log.Info("settings reloaded", zap.Strings("seeds", next.Fleet.Seeds), zap.Duration("hold_ms", next.Budgets.Hold.Std()))
}
