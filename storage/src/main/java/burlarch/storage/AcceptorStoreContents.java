package burlarch.storage;

import burlarch.coordination.register.AcceptorState;
import java.util.TreeMap;

/**
 * The state in memory that results from applying the records of an {@link AcceptorStore}. Owned by the store's thread.
 */
final class AcceptorStoreContents {
    /** Sorted, so that equal contents give equal snapshots. */
    final TreeMap<String, byte[]> namedValues = new TreeMap<>();
    /** Identity of the disk; null until it is read or created. */
    String identity;

    AcceptorState state = AcceptorState.EMPTY;
}
