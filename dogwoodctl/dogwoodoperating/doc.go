// Package dogwoodoperating tests the operators' pages: its scripts run every command shown in
// docs/OPERATING.md and docs/operating against a complete local site. It contains only tests.
package dogwoodoperating
