// Package samples embeds the sample settings and configurations for the demo
// and for tests.
package samples

import _ "embed" // For the go:embed directives.

// Settings has the settings of one daemon.
//
//go:embed settings.jsonc
var Settings []byte

// Shrestha is the configuration of the Shrestha Sukuti Order Routing Service
// Annex.
//
//go:embed shrestha.jsonc
var Shrestha []byte

// Saaremaa is the configuration of Lavender Line Sachet Ordering and Drafting.
//
//go:embed saaremaa.jsonc
var Saaremaa []byte
