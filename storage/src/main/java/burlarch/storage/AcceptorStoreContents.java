package burlarch.storage;

import burlarch.coordination.register.AcceptorState;
import java.util.TreeMap;

/** What the records of an {@link AcceptorStore} add up to, in memory. Owned by the store's thread. */
final class AcceptorStoreContents {
    /** Sorted, so that equal contents give equal snapshots. */
    final TreeMap<String, byte[]> namedValues = new TreeMap<>();
    /** Of the disk; null until it is read or created. */
    String identity;

    AcceptorState state = AcceptorState.EMPTY;
}
