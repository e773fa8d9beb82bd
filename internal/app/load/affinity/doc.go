// Package affinity is the load program's experiment on prefix caches: how often
// a request meets its prompt's prefix in the cache of the engine that gets it,
// and how evenly the engines are loaded, in virtual time and for several ways to
// pick a target. The picking is the code that the entries run.
package affinity
