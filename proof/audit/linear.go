package audit

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"anvilstand/core/model"
)

// checkOnce checks each request that is not idempotent against a model in which
// it is executed at most once, and answered only after its execution.
func checkOnce(h *History) string {
	atMostOnce := map[string]bool{}
	var ops []porcupine.Operation
	for i, req := range h.requests {
		atMostOnce[req.id] = atMostOnce[req.id] || req.atMostOnce
		if _, complete := req.end.(Complete); complete && req.atMostOnce {
			ops = append(ops, operation(i, answer{id: req.id}, req.sentAt, req.endedAt))
		}
	}
	for i, exec := range h.executions {
		if atMostOnce[exec.id] {
			ops = append(ops, operation(len(h.requests)+i, execute{id: exec.id}, exec.from, exec.until))
		}
	}
	if porcupine.CheckOperations(onceModel(), ops) {
		return ""
	}
	for id, executions := range h.executionsByID() {
		if atMostOnce[id] && len(executions) > 1 {
			return fmt.Sprintf("request %s ran %d times, at %v and %v", id, len(executions), executions[0].from, executions[1].from)
		}
	}
	return "some request got a complete answer and never ran"
}

// execute and answer are the operations on one request.
type (
	execute struct{ id string }
	answer  struct{ id string }
)

func operation(client int, input any, from, until time.Duration) porcupine.Operation {
	return porcupine.Operation{ClientId: client, Input: input, Call: int64(from), Return: int64(until)}
}

// onceModel keeps one state for each request: whether it has been executed.
func onceModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
			byID := map[string][]porcupine.Operation{}
			for _, op := range all {
				byID[requestID(op.Input)] = append(byID[requestID(op.Input)], op)
			}
			parts := make([][]porcupine.Operation, 0, len(byID))
			for _, part := range byID {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() any { return false },
		Step: func(state, input, _ any) (bool, any) {
			if _, run := input.(execute); run {
				return state == false, true
			}
			return state == true, true
		},
	}
}

func requestID(input any) string {
	switch in := input.(type) {
	case execute:
		return in.id
	case answer:
		return in.id
	}
	return ""
}

// write and read are the operations on the revision of the configuration.
type (
	write struct{ rev model.Revision }
	read  struct{ rev model.Revision }
	// unknownWrite is a commit whose outcome is not known. It may take effect
	// once, at any time after its start.
	unknownWrite struct{}
)

// checkLine checks that no daemon goes back, that each accepted revision is in
// force in time, and that writes and reads of the revision are linearizable.
func checkLine(h *History) string {
	if example := checkMonotonic(h); example != "" {
		return example
	}
	if example := checkInForce(h); example != "" {
		return example
	}
	ops := commandOperations(h)
	for i, obs := range h.observations {
		ops = append(ops, operation(len(h.commands)+i, read{rev: obs.rev}, obs.at, obs.at))
	}
	if !porcupine.CheckOperations(revisionModel(), ops) {
		return "the accepted revisions and those seen in force at daemons are not linearizable"
	}
	return ""
}

// commandOperations returns the commands that committed a revision, or may have.
// A command that was given again under the same id, because its outcome was not
// known, is one operation: it may have taken effect since it was first given.
func commandOperations(h *History) []porcupine.Operation {
	first, accepted := map[string]time.Duration{}, map[string]bool{}
	for _, cmd := range h.commands {
		switch cmd.outcome.(type) {
		case Accepted:
			accepted[cmd.op] = true
		case Unknown:
			if from, ok := first[cmd.op]; !ok || cmd.from < from {
				first[cmd.op] = cmd.from
			}
		case Rejected:
		}
	}
	var ops []porcupine.Operation
	for i, cmd := range h.commands {
		from, retried := first[cmd.op]
		if !retried {
			from = cmd.from
		}
		switch cmd.outcome.(type) {
		case Accepted:
			ops = append(ops, operation(i, write{rev: cmd.rev}, from, cmd.until))
		case Unknown:
			if !accepted[cmd.op] {
				ops = append(ops, operation(i, unknownWrite{}, cmd.from, h.endedAt))
			}
		case Rejected:
		}
	}
	return ops
}

// register is the model's state: the newest accepted revision, and how many
// commits of unknown outcome may have taken effect beyond it.
type register struct{ rev, unknown model.Revision }

// revisionModel accepts each revision once, in order, and no read of a revision
// newer than all that were or may have been committed.
func revisionModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return register{} },
		Step: func(state, input, _ any) (bool, any) {
			now := state.(register)
			switch in := input.(type) {
			case write:
				return in.rev > now.rev, register{rev: in.rev, unknown: now.unknown}
			case read:
				return in.rev <= now.rev+now.unknown, now
			case unknownWrite:
				return true, register{rev: now.rev, unknown: now.unknown + 1}
			}
			return false, now
		},
	}
}

// checkMonotonic checks that no daemon goes back to an older revision.
func checkMonotonic(h *History) string {
	newest := map[string]model.Revision{}
	for _, obs := range h.observations {
		if obs.rev < newest[obs.daemon] {
			return fmt.Sprintf("%s went back from revision %d to %d at %v", obs.daemon, newest[obs.daemon], obs.rev, obs.at)
		}
		newest[obs.daemon] = obs.rev
	}
	return ""
}

// checkInForce checks that every accepted revision was in force at each daemon
// in time. For a process that started later, the time counts from its first
// observation.
func checkInForce(h *History) string {
	first := map[string]time.Duration{}
	for _, obs := range h.observations {
		if _, ok := first[obs.daemon]; !ok {
			first[obs.daemon] = obs.at
		}
	}
	for _, cmd := range h.commands {
		if _, ok := cmd.outcome.(Accepted); !ok {
			continue
		}
		for _, obs := range h.observations {
			by := max(cmd.until, h.healedAt, first[obs.daemon]) + InForceWithin
			if obs.at > by && obs.rev < cmd.rev {
				return fmt.Sprintf("%s, first seen at %v, held revision %d at %v; %d was accepted by %v", obs.daemon, first[obs.daemon], obs.rev, obs.at, cmd.rev, cmd.until)
			}
		}
	}
	return ""
}
