// Package scenarios runs the scripts in *.txtar, and the soak test, against the
// built programs. Its tests need the build tag scenarios.
package scenarios
