// Package dogwoodprefix tracks which engines probably hold which prompt prefixes in their
// cache. Its results are hints for routing and may be wrong.
//
// Load pattern: many requests share a long prefix, such as one customer's instructions.
// Prefilling it once per engine instead of once per request saves most of the prefill work.
// Cache events arrive late and with gaps. A gap clears the engine's part of the index: a wrong
// hint costs one prefill, but an index that only grows would eventually report every prefix as
// cached on every engine.
package dogwoodprefix
