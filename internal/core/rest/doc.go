// Package rest decides when a target may be sent requests again that has asked this
// process for a rest. It answers load on targets that reject what they get: they look
// idle, and so attract requests. After the rest a single request shows whether the target
// serves again.
//
// Package internal/app/gateway uses it.
package rest
