// Package openloop sends requests at given times, whether earlier ones have
// been answered or not, so that a slow answer does not hide the wait of those
// behind it (coordinated omission).
package openloop
