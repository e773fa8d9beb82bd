// Package logera remembers the newest records that were read from a log, and tells which
// of them to append again when the log comes back from an older copy of itself.
//
// Packages claimlog and settingssync use it. Records of both may be appended twice: the
// second copy has no effect.
package logera
