/**
 * The models behind emulated instances: an engine with continuous batching, its KV cache with events, its weights
 * orders, and the validation of requests. Pure: no I/O, no clock, no thread. Not thread-safe; the server holds the
 * lock of the {@link burlarch.emulator.model.KvCache} around all of an engine's model.
 */
package burlarch.emulator.model;
