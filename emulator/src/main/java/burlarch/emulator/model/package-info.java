/**
 * Models behind emulated instances: an engine with continuous batching, its KV cache with events, its weights orders,
 * and the validation of requests. They do no I/O, read no clock and start no thread. Not thread-safe: the server holds
 * the lock of the {@link burlarch.emulator.model.KvCache} during every use of an engine's model.
 */
package burlarch.emulator.model;
