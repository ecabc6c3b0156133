package outlier

import (
	"time"

	"redwingspread/internal/model"
)

// Probability is the chance that an instance fails a statement.
type Probability float64

// Outcome is what became of a statement that was sent to an instance. A rejection for lack of room is none.
type Outcome uint8

// The outcomes.
const (
	Answered Outcome = iota
	Failed           // the instance reported a failure
	Lost             // the connection broke, or the time was over
)

const (
	bucketTime  = time.Second
	bucketCount = 8 // longer than the 4 to 7 s for which a grey instance was seen to fail, and enough for a host that sends one statement per second
	// priorOutcomes is the number of answered statements that are assumed beside the counted ones, so that one failure doesn't mean
	// that all fail and the probability falls to zero without outcomes.
	priorOutcomes = 1
)

// weights are the weights of outcomes by the age of their bucket; they halve every two seconds.
var weights = [bucketCount]float64{1, 0.707, 0.5, 0.354, 0.25, 0.177, 0.125, 0.088}

// window counts the outcomes of the latest seconds.
type window struct {
	buckets [bucketCount]counts
	newest  int64 // number of the newest bucket since the start of the clock
}

// counts are the outcomes of one bucket.
type counts struct {
	outcomes, failures int32
}

// add counts an outcome.
func (w *window) add(now model.Instant, outcome Outcome) {
	number := bucketNumber(now)
	if number-w.newest >= bucketCount {
		w.buckets = [bucketCount]counts{}
		w.newest = number
	}
	for w.newest < number {
		w.newest++
		w.buckets[w.newest%bucketCount] = counts{}
	}
	bucket := &w.buckets[w.newest%bucketCount]
	bucket.outcomes++
	if outcome != Answered {
		bucket.failures++
	}
}

// estimate returns the failure probability, and the counts from which it comes.
func (w *window) estimate(now model.Instant) (probability Probability, total counts) {
	skipped := max(bucketNumber(now)-w.newest, 0) // seconds without outcomes
	outcomes, failures := float64(priorOutcomes), 0.0
	for age := skipped; age < bucketCount; age++ {
		bucket := &w.buckets[(w.newest-(age-skipped)+bucketCount)%bucketCount]
		outcomes += weights[age] * float64(bucket.outcomes)
		failures += weights[age] * float64(bucket.failures)
		total.outcomes += bucket.outcomes
		total.failures += bucket.failures
	}
	return Probability(failures / outcomes), total
}

// bucketNumber returns the number of the bucket of a time.
func bucketNumber(now model.Instant) int64 { return int64(now) / int64(bucketTime) }
