// Package startup reads the JSON file that a program is started with.
package startup
