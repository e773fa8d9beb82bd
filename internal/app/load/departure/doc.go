// Package departure measures the service of each class while a failure domain
// leaves, is out, and returns cold, against baselines in the same run.
package departure
