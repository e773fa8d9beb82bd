// Package scenarios runs the scripted scenarios in *.txtar on the real
// programs. Build tag: scenarios.
package scenarios
