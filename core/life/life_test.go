package life_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilstand/core/life"
	"anvilstand/core/model"
)

const second = model.Instant(time.Second)

// word is a word of the first start of target i1, unless changed.
func word(sequence uint64, s life.State) life.Word {
	return life.NewWord("i1", "stock", 1000, sequence, s).WithSlots(10)
}

// later is a word of a second start of target i1.
func later(sequence uint64) life.Word {
	return life.NewWord("i1", "stock", 2000, sequence, life.Ready{}).WithSlots(10)
}

// verdict returns why a target gets no work, or that it does, and whether it is
// taken for cold.
func verdict(t *life.Target, now model.Instant) string {
	text := "works"
	if err := t.Check(now); err != nil {
		text = err.Error()
	}
	if t.Cold(now) {
		text += ", cold"
	}
	return text
}

const (
	noTarget = "refused: notarget, run: not"
	leaving  = "refused: leaving, run: not"
)

func TestTarget(t *testing.T) {
	cases := map[string]struct {
		do   func(*life.Target)
		now  model.Instant
		want string
	}{
		"nothing said": {do: func(*life.Target) {}, want: noTarget},
		"ready":        {do: func(t *life.Target) { t.Hear(0, word(1, life.Ready{})) }, want: "works"},
		"cold": {
			do:   func(t *life.Target) { t.Hear(0, word(1, life.Ready{}).WithCold(3*time.Second)) },
			now:  second,
			want: "works, cold",
		},
		"warm again": {
			do:   func(t *life.Target) { t.Hear(0, word(1, life.Ready{}).WithCold(3*time.Second)) },
			now:  3 * second,
			want: "works",
		},
		"draining": {do: func(t *life.Target) { t.Hear(0, word(1, life.Draining{})) }, want: leaving},
		"an older word does not bring it back": {
			do: func(t *life.Target) {
				t.Hear(0, word(5, life.Draining{}))
				t.Hear(0, word(4, life.Ready{}))
			},
			want: leaving,
		},
		"nor does a later one of the same start": {
			do: func(t *life.Target) {
				t.Hear(0, word(5, life.Draining{}))
				t.Hear(0, word(6, life.Ready{}))
			},
			want: leaving,
		},
		"a new start does": {
			do: func(t *life.Target) {
				t.Hear(0, word(5, life.Draining{}))
				t.Hear(0, later(1))
			},
			want: "works",
		},
		"a word of the start before is late": {
			do: func(t *life.Target) {
				t.Hear(0, later(1))
				t.Hear(0, word(9, life.Draining{}))
			},
			want: "works",
		},
		"it has left": {
			do: func(t *life.Target) {
				t.Hear(0, word(1, life.Ready{}))
				t.Leave("i1")
			},
			want: leaving,
		},
		"another one has left": {
			do: func(t *life.Target) {
				t.Hear(0, word(1, life.Ready{}))
				t.Leave("i2")
			},
			want: "works",
		},
		"a late word after it has left": {
			do: func(t *life.Target) {
				t.Hear(0, word(1, life.Ready{}))
				t.Leave("i1")
				t.Hear(0, word(2, life.Ready{}))
			},
			want: leaving,
		},
		"of another service": {
			do:   func(t *life.Target) { t.Hear(0, life.NewWord("i1", "other", 1000, 1, life.Ready{})) },
			want: noTarget,
		},
		"no connection": {
			do: func(t *life.Target) {
				t.Hear(0, word(1, life.Ready{}))
				t.Refused(0)
			},
			want: noTarget + ", cold",
		},
		"a connection is tried again, as if cold": {
			do: func(t *life.Target) {
				t.Hear(0, word(1, life.Ready{}))
				t.Refused(0)
			},
			now:  second,
			want: "works, cold",
		},
		"it speaks again": {
			do: func(t *life.Target) {
				t.Hear(0, word(1, life.Ready{}))
				t.Refused(0)
				t.Hear(0, word(2, life.Ready{}))
			},
			want: "works",
		},
		"doubted until it speaks": {
			do: func(t *life.Target) {
				t.Hear(0, word(1, life.Ready{}))
				t.Doubt()
			},
			now:  9 * second,
			want: "works, cold",
		},
		"another one answers at its address": {
			do: func(t *life.Target) {
				t.Hear(0, word(1, life.Ready{}))
				t.Replaced()
			},
			want: leaving,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var target life.Target
			target.Follow("stock")
			tc.do(&target)
			if diff := cmp.Diff(tc.want, verdict(&target, tc.now)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestNotFollowed has a target that says nothing of itself, as the product's
// own targets do.
func TestNotFollowed(t *testing.T) {
	var target life.Target
	if diff := cmp.Diff("works", verdict(&target, 0)); diff != "" {
		t.Error(diff)
	}
}
