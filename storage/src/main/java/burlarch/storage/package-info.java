/**
 * Durable state of one register acceptor: a segmented log with checksums, and the acceptor's store on top of it.
 *
 * <p><b>Layers.</b> {@link burlarch.storage.AcceptorStore} keeps the acceptor's state and encodes its changes as
 * records. {@link burlarch.storage.SegmentedLog} keeps the records of the newest snapshot and after it.
 * {@code Segment} writes one file of the log, {@code SegmentScanner} reads one, {@code LogRecovery} chooses between
 * files at opening. {@link burlarch.storage.Disk} is the only way to the file system, so that tests can inject faults.
 *
 * <p><b>Threads and state.</b> One thread owns a store, everything below it and its files: in a controller this is the
 * disk thread. Nothing here is safe for use by several threads, and every call may block on the disk.
 *
 * <p><b>Invariants of durability</b>, each argued in the class that keeps it:
 *
 * <ul>
 *   <li><i>durable before acknowledged</i>: a call that returns without an exception has synced what it was given
 *       ({@link burlarch.storage.AcceptorStore}, {@link burlarch.storage.SegmentedLog#sync});
 *   <li><i>tail cut before reuse</i>: the tail after the last sync is cut before
 *       anything is written in its place ({@code Segment});
 *   <li><i>proof of sync</i>: damage to synced records is told apart from a torn tail ({@code SegmentScanner});
 *   <li><i>successor before removal</i>: a segment is removed only after its successor is synced, file and directory
 *       entry both ({@link burlarch.storage.SegmentedLog#replaceWithSnapshot});
 *   <li><i>rising sequences</i>: the segment with the highest sequence holds the newest state ({@code LogRecovery});
 *   <li><i>synced before trusted</i>: what is read at opening is synced again before it is used ({@code LogRecovery}).
 * </ul>
 */
package burlarch.storage;
