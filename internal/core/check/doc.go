// Package check reads JSON strictly and describes what is wrong with it: the path
// of the document, the field, the value, and what would be right. It bounds size and
// nesting, so input from outside is refused early and with little memory.
package check
