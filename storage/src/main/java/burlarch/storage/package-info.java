/**
 * Durable storage of one register acceptor: a segmented log with checksums, and the acceptor's store on top of it.
 *
 * <p><b>Layers.</b> {@link burlarch.storage.AcceptorStore} keeps the acceptor's state and encodes its changes as
 * records. {@link burlarch.storage.SegmentedLog} holds the newest snapshot and the records after it. {@code Segment}
 * writes one file of the log, {@code SegmentScanner} reads one, and {@code LogRecovery} selects the current file when
 * the log is opened. All access to the file system goes through {@link burlarch.storage.Disk}, so that tests can
 * inject faults. {@link burlarch.storage.DamagedLogQuarantine} sets a damaged log aside.
 *
 * <p><b>Threads and state.</b> A store, the objects it uses and its files are owned by one thread; in a controller
 * this is the disk thread. No class here is thread-safe, and every call may block on the disk.
 *
 * <p><b>Durability invariants</b>, each explained in the class that maintains it:
 *
 * <ul>
 *   <li><i>durable before acknowledged</i>: when a call returns without an exception, the data passed to it is synced
 *       ({@link burlarch.storage.AcceptorStore}, {@link burlarch.storage.SegmentedLog#sync});
 *   <li><i>truncation before reuse</i>: after a failure, the tail after the last sync is truncated before anything is
 *       written in its place ({@code Segment});
 *   <li><i>proof of sync</i>: damage to synced records is distinguished from a torn tail ({@code SegmentScanner});
 *   <li><i>successor before removal</i>: a segment is removed only after its successor is synced, file and directory
 *       entry both ({@link burlarch.storage.SegmentedLog#replaceWithSnapshot});
 *   <li><i>increasing sequence numbers</i>: the segment with the highest sequence number holds the newest state
 *       ({@code LogRecovery});
 *   <li><i>sync before use</i>: records read when the log is opened are synced again before they are used
 *       ({@code LogRecovery}).
 * </ul>
 */
package burlarch.storage;
