package faultlog

import (
	"os"
	"strconv"
)

// SchedulesVariable names the environment variable that sets the number of
// random schedules of each test, for longer runs.
const SchedulesVariable = "CLEMENTINESHED_SCHEDULES"

// Seeds returns the seeds of the random schedules of a test. If the environment
// variable seedVariable is set, its value is the only seed. Otherwise the seeds
// are 1 to n, where n is the value of SchedulesVariable or defaultCount.
func Seeds(seedVariable string, defaultCount int) []int64 {
	if seed, err := strconv.ParseInt(os.Getenv(seedVariable), 10, 64); err == nil {
		return []int64{seed}
	}
	if n, err := strconv.Atoi(os.Getenv(SchedulesVariable)); err == nil {
		defaultCount = n
	}
	seeds := make([]int64, defaultCount)
	for i := range seeds {
		seeds[i] = int64(i) + 1
	}
	return seeds
}
