/**
 * Tracked distribution of a stream of revisions: which revision each subscriber has acknowledged, and waits until all
 * have acknowledged one.
 *
 * <p>Owner of the state: whoever publishes the stream owns one
 * {@link burlarch.coordination.distribution.AcknowledgementTracker}, in memory; subscribers acknowledge anew on each
 * connection. Thread: none of its own, no I/O and no clock; the publisher's event loop makes all calls.
 */
package burlarch.coordination.distribution;
