// Package dev runs a whole small deployment in one process: stand-ins for the
// platform, two failure domains with engines and an order service each, and one
// entry host in each domain, with example declarations and a valid API key.
//
// A Cluster owns everything it starts and stops it on Close. The package serves
// demonstrations and tests; the serve command does not use it.
package dev
