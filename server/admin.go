package server

import (
	"context"
	"encoding/json"

	"github.com/gaplink/gaplink/controller/limits"
	"github.com/gaplink/gaplink/filter/authenticate"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/result"
)

// handleAdmin runs an operator's command. It rejects all commands if the settings have no
// operator key.
func (s *Server) handleAdmin(_ context.Context, req *peer.AdminRequest) (*peer.AdminAnswer, error) {
	hash := s.current().Operator.KeyHash
	if hash == "" || !authenticate.Matches(req.Key, hash) {
		return nil, result.New(result.NotOperator, "the operator key is missing or wrong")
	}
	out, err := s.runCommand(req)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(out)
	if err != nil {
		return nil, err
	}
	return &peer.AdminAnswer{Result: body}, nil
}

func (s *Server) runCommand(req *peer.AdminRequest) (any, error) {
	if req.Command == limits.CommandList {
		return s.limits.List(), nil
	}
	return s.verdicts.Do(req.Operator, req.Command, req.Args)
}
