// Package fairness shares the capacity of the fleet between teams by max-min
// fairness. The unit is tokens of work, see Work.
//
// Ledger holds the recent service of each team, decayed exponentially over a
// window. The service of this host counts at once. That of other entry hosts
// arrives through Merge as cumulative counts, delayed and possibly more than
// once. There is no shared counter: the views of two hosts differ by at most
// what the other hosts serve within the gossip delay. Hosts on the relay path report
// increases instead, see Unreported and Ledger.AddPeer: each is counted once, and lost
// ones are not repeated.
//
// Share is a team's part of the recent service, with the max-min fair part.
//
// Queue holds waiting requests and dequeues those of the least served team
// first. A share that a team does not use goes to the other teams until the
// team's next request.
//
// When a host is partitioned from the others, its view of their service decays
// to zero, and it shares out its own service only. Ledger.Sweep frees the
// memory of teams without recent service.
package fairness
