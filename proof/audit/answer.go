package audit

import "fmt"

func checkOwn(h *History) string {
	for _, req := range h.requests {
		if end, ok := req.end.(Complete); ok && end.id != req.id {
			return fmt.Sprintf("request %s got the answer to %s", req.id, end.id)
		}
	}
	return ""
}

func checkCalm(h *History) string {
	if !h.calm {
		return ""
	}
	for _, req := range h.requests {
		switch end := req.end.(type) {
		case ConnLost:
			return fmt.Sprintf("request %s (%v to %v) was cut: %s", req.id, req.sentAt, req.endedAt, end.step)
		case Refused:
			if end.run != "not" && end.reason != "repeat" {
				return fmt.Sprintf("request %s at %v: %s, run %s", req.id, req.endedAt, end.reason, end.run)
			}
		case Complete, ConnectFailed:
		}
	}
	return ""
}

// minServedFraction is the fraction of the requests in the recovery window that
// must get a complete answer.
const minServedFraction = 0.9

// checkBack counts a request as served when it was served any of the times that
// it was sent.
func checkBack(h *History) string {
	servedByID, ends := map[string]bool{}, map[string]int{}
	for _, req := range h.requests {
		if req.sentAt < h.endedAt-h.plan.recoveryWindow || req.org != h.plan.recoveryOrg || req.key == h.plan.withdrawnKey {
			continue
		}
		servedByID[req.id] = servedByID[req.id] || isComplete(req.end)
		ends[endName(req.end)]++
	}
	served := 0
	for _, ok := range servedByID {
		if ok {
			served++
		}
	}
	if float64(served) < minServedFraction*float64(len(servedByID)) || served == 0 {
		return fmt.Sprintf("%d of the last %d requests were served; they ended as %v", served, len(servedByID), ends)
	}
	return ""
}

func isComplete(e End) bool {
	_, ok := e.(Complete)
	return ok
}

func endName(e End) string {
	switch e := e.(type) {
	case Complete:
		return "whole"
	case Refused:
		return e.reason
	case ConnLost:
		return "cut"
	case ConnectFailed:
		return "unreached"
	}
	return "unknown"
}
