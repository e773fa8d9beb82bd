// Package affinity is the load program's experiment on prefix caches: the rate
// at which requests hit their prompt's prefix in the cache of the engine that
// serves them, and how evenly the engines are loaded, in virtual time and for
// several routing strategies. The system's strategy is the code that the entries
// run.
package affinity
