// Package roles decides which engine runs which phase of model work.
//
// Decide is a pure function of the engines, the offered work and the time. Each
// failure domain has a lease holder that calls it with the figures of the whole
// fleet and applies only the changes in its own domain. The engines are
// considered in a fixed order, so that holders with the same figures agree.
// Meter, the only state, smooths the offered work of all hosts; its figures are
// assumed to be a few seconds old.
//
// A role change takes an engine out of service for many seconds. It is made
// only if the fleet lacks capacity in its present roles and the change adds
// enough of it. Each domain keeps enough engines to serve both phases alone
// when it is cut off. Without figures no role changes.
package roles
