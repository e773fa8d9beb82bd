// Package openloop sends requests at scheduled times, whether earlier ones have
// been answered or not, so that a slow answer does not hide the waiting time of
// the requests after it (coordinated omission).
package openloop
