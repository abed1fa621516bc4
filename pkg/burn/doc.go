// Package burn reports how the service meets the declared targets: per class
// and team, over several windows, how much of the error budget is spent and how
// fast.
//
// State: counters per class and team in rings of buckets. Memory is bounded:
// teams beyond MaxTeamSeries are counted under OtherTeams. A series without a
// request in the longest window is not reported and is dropped when the limit
// is reached. The counters are lost with the process. A report merges the
// snapshots of the hosts that answer and states how many did.
//
// A request is bad if it was admitted and was late, failed, or its outcome is
// unknown. A request that was refused and certainly did not run spends no
// budget, because targets hold for admitted requests. It does lower the served
// share, which determines the worst-served team.
//
// Recording and building a report cannot fail. A window covers whole buckets,
// so it is shorter than its nominal length by up to one bucket: a sixth of the
// window for teams, a thirtieth for classes.
package burn
