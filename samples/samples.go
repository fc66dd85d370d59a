// Package samples holds the sample settings and configurations, for the demo and
// for tests that load them.
package samples

import _ "embed" // Brings the samples into the program.

// Settings are the settings of one daemon.
//
//go:embed settings.jsonc
var Settings []byte

// Shrestha is the configuration of the Shrestha Sukuti Order Routing Service
// Annex.
//
//go:embed shrestha.jsonc
var Shrestha []byte

// Saaremaa is the configuration of the Lavender Line Sachet Ordering and
// Drafting.
//
//go:embed saaremaa.jsonc
var Saaremaa []byte
