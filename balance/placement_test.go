package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mixOf returns the mix of requests with a prompt and an answer of the given tokens.
func mixOf(prompt int, answers ...int) *Mix {
	m := &Mix{}
	for _, tokens := range answers {
		m.Observe(engine(), engine().Model("m"), prompt, tokens)
	}
	return m
}

// Guards against ranks that count requests in place of their work, and against answers
// of one length that all get the same rank.
func TestAnswerRank(t *testing.T) {
	for _, c := range []struct {
		name      string
		mix       *Mix
		tokens    int
		low, high float64
	}{
		{"nothing is known", &Mix{}, 100, 0, 1},
		{"the shortest", mixOf(0, 100, 300), 50, 0, 0},
		{"between", mixOf(0, 100, 300), 150, 0.25, 0.25},
		{"the longest", mixOf(0, 100, 300), 400, 1, 1},
		{"as long as another", mixOf(0, 100, 300), 300, 0.25, 1},
		{"requests without work", mixOf(0, 0), 200, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sum float64
			const draws = 200
			r := random()
			for range draws {
				rank := c.mix.Rank(r, c.tokens)
				require.GreaterOrEqual(t, rank, c.low-1e-6)
				require.LessOrEqual(t, rank, c.high+1e-6)
				sum += rank
			}
			require.InDelta(t, (c.low+c.high)/2, sum/draws, 0.1, "spread evenly")
		})
	}
}

// Guards against ranks that stay those of a load that has passed.
func TestMixForgets(t *testing.T) {
	m := &Mix{}
	for _, tokens := range []int{1000, 10} {
		for range mixSamples {
			m.Observe(engine(), engine().Model("m"), 100, tokens)
		}
	}
	require.InDelta(t, 1, m.Rank(random(), 500), 0)
}

// Guards against a group that is reserved where all answers end in time anyway, which
// costs the others room, and against none where long answers would time out.
func TestReservedGroupIsNeeded(t *testing.T) {
	long := []int{20, 20, 20, 20, 20, 20, 20, 20, 20, 400, 400, 400, 400}
	for _, c := range []struct {
		name  string
		mix   *Mix
		limit time.Duration
		want  bool
	}{
		{"long answers among short ones with long prompts", mixOf(3000, long...), 8 * time.Second, true},
		{"the same with time enough", mixOf(3000, long...), 60 * time.Second, false},
		{"short prompts", mixOf(50, long...), 8 * time.Second, false},
		{"short answers only", mixOf(3000, 20, 20, 20, 20, 20, 20, 20, 20, 20), 8 * time.Second, false},
		{"few requests", mixOf(3000, 20, 400), 8 * time.Second, false},
		{"no answers", mixOf(3000, 0, 0, 0, 0, 0, 0, 0, 0, 0), 8 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, c.mix.NeedsReservedGroup(engine(), engine().Model("m"), c.limit))
		})
	}
}

// Guards against long answers in groups that read many prompts, and against a reserved
// group that stays idle while others are full.
func TestReserve(t *testing.T) {
	const short, long = 0.1, 0.95
	for _, c := range []struct {
		name    string
		running [3]float64
		rank    float64
		want    []int
	}{
		{"no load", [3]float64{}, short, []int{0, 1, 2}},
		{"long answer, no load", [3]float64{}, long, []int{0, 1, 2}},
		{"loaded", [3]float64{26, 26, 26}, short, []int{0, 1}},
		{"long answer, loaded", [3]float64{26, 26, 26}, long, []int{2}},
		{"the reserved group has room", [3]float64{26, 26, 10}, short, []int{0, 1, 2}},
		{"long answer, another group has much room", [3]float64{26, 5, 26}, long, []int{1, 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var candidates []Candidate
			for _, running := range c.running {
				candidates = append(candidates, candidate(running))
			}
			require.Equal(t, c.want, reserve(c.rank, []int{0, 1, 2}, candidates))
		})
	}
	require.Equal(t, []int{1}, reserve(long, []int{1}, []Candidate{candidate(26), candidate(26)}), "the only one left")
}

// Guards against a stream that must go on somewhere but finds only the reserved group.
func TestRestOfStreamIsNotReserved(t *testing.T) {
	rest := request()
	rest.Ranked, rest.AnswerRank, rest.PartlyRun, rest.Delivering, rest.Objective = true, 0.95, true, true, -time.Second
	d := Choose(random(), costs(), rest, []Candidate{candidate(20), candidate(40)})
	require.Equal(t, 0, d.Index)
}
