/**
 * Tracked distribution: which subscribers of a stream of revisions have acknowledged which one, and who waits for all.
 *
 * <p>Owner of the state: whoever publishes the stream owns one
 * {@link burlarch.coordination.distribution.AcknowledgementTracker}, in memory; subscribers acknowledge anew on each
 * connection. Thread: none of its own, no I/O and no clock; the publisher's event loop makes all calls.
 */
package burlarch.coordination.distribution;
