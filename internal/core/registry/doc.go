// Package registry decides which targets may be used, from their records in the
// platform's registry and from whether the registry could be read.
package registry
