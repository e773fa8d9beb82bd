// Package registry decides which targets may be used, from what the platform's
// registry said of them and from whether the registry could be read.
package registry
