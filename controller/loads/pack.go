package loads

import (
	"math"
	"time"

	"github.com/gaplink/gaplink/load"
	"github.com/gaplink/gaplink/peer"
)

const (
	// maxPayload bounds a router's request and its answer together, so that the interval between two
	// exchanges stays below 570 ms and sums are replaced before they are two seconds old.
	maxPayload = 1000
	// framing is the number of bytes that the protocol between routers adds to a request and its
	// answer, and overhead that of the fields of both messages whose size does not vary.
	framing  = 64
	overhead = 48
	// minServerBytes is the space for servers in an answer, however large the request.
	minServerBytes = 350
	// maxAnswerServers is the maximum number of servers in the answer to a router, whose shortest
	// entries take five bytes.
	maxAnswerServers = maxPayload / 5
)

// packRouter encodes the report of a router of a failure domain.
func packRouter(r load.Report, domain string, now time.Time) *peer.LoadRequest {
	req := &peer.LoadRequest{From: r.From, Process: r.Process, Seq: r.Seq}
	req.Servers, _ = load.Pack(r.Servers, now, math.MaxInt)
	req.Links = []peer.DomainLinks{{Domain: domain, Packed: load.PackLinks(r.Links, now)}}
	return req
}

// packRelay encodes the sums of a relay.
func packRelay(r load.Report, now time.Time) *peer.LoadRequest {
	req := &peer.LoadRequest{From: r.From, Process: r.Process, Seq: r.Seq, Relay: true, Truncated: r.Truncated}
	req.Servers, _ = load.Pack(r.Servers, now, math.MaxInt)
	places := map[string]int{} // by domain
	for _, l := range r.Links {
		i, ok := places[l.Domain]
		if !ok {
			i = len(req.Links)
			places[l.Domain] = i
			req.Links = append(req.Links, peer.DomainLinks{Domain: l.Domain})
		}
		req.Links[i].Packed = append(req.Links[i].Packed, load.PackLinks([]load.Link{l}, now)...)
	}
	return req
}

// unpackReport decodes the report of a router or a relay that was received at a time.
func unpackReport(req *peer.LoadRequest, receivedAt time.Time) (load.Report, error) {
	r := load.Report{From: req.From, Process: req.Process, Seq: req.Seq, Truncated: req.Truncated}
	servers, err := load.Unpack(req.Servers, receivedAt)
	if err != nil {
		return r, err
	}
	r.Servers = servers
	for _, d := range req.Links {
		links, err := load.UnpackLinks(d.Packed, d.Domain, receivedAt)
		if err != nil {
			return r, err
		}
		r.Links = append(r.Links, links...)
	}
	return r, nil
}

// domainOf returns the failure domain of a router that sent a report.
func domainOf(req *peer.LoadRequest) string {
	if len(req.Links) == 0 {
		return ""
	}
	return req.Links[0].Domain
}

// packAnswer encodes the answer to a router's request. Request and answer together take at most
// maxPayload bytes, unless the request leaves less than minServerBytes for servers.
func packAnswer(a load.Answer, now time.Time, req *peer.LoadRequest) *peer.LoadAnswer {
	if !a.Known {
		return &peer.LoadAnswer{}
	}
	answer := &peer.LoadAnswer{Known: true, Links: load.PackLinks(a.Links, now)}
	answer.Age = uint16(min(now.Sub(a.Oldest).Milliseconds(), math.MaxUint16))
	room := maxPayload - requestBytes(req) - len(answer.Links)
	n := 0
	answer.Servers, n = load.Pack(a.Servers, now, max(room, minServerBytes))
	answer.Complete = a.Complete && n == len(a.Servers)
	return answer
}

// unpackAnswer decodes the answer to a request that a router of a failure domain sent at a time. The
// answer was made later, so the ages are never too low.
func unpackAnswer(answer *peer.LoadAnswer, domain string, sentAt time.Time) (load.Answer, error) {
	a := load.Answer{Known: answer.Known, Complete: answer.Complete}
	a.Oldest = sentAt.Add(-time.Duration(answer.Age) * time.Millisecond)
	var err error
	if a.Servers, err = load.Unpack(answer.Servers, sentAt); err != nil {
		return load.Answer{}, err
	}
	a.Links, err = load.UnpackLinks(answer.Links, domain, sentAt)
	return a, err
}

// requestBytes returns the size of a router's request, with the fixed part of its answer.
func requestBytes(req *peer.LoadRequest) int {
	size := overhead + len(req.From) + len(req.Servers)
	for _, d := range req.Links {
		size += len(d.Domain) + len(d.Packed)
	}
	return size
}

// exchangeBytes returns the number of bytes that a request and its answer take.
func exchangeBytes(req *peer.LoadRequest, answer *peer.LoadAnswer) int {
	return framing + requestBytes(req) + len(answer.Servers) + len(answer.Links)
}
