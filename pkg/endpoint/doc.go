// Package endpoint holds the endpoint table: which engines and services exist,
// their lifecycle state and their last load report.
//
// The table merges three sources: the list of the platform's endpoint interface,
// the engines' load reports, and notices that other entry hosts gossip. Readers
// take an immutable snapshot. When a source does not answer, its last answer
// stays in the table. Status.LoadAge is the age of a load report.
package endpoint
