package burlarch.storage;

import burlarch.coordination.register.AcceptorState;
import java.util.TreeMap;

/** What the records of an {@link AcceptorStore} add up to. */
final class AcceptorStoreContents {
    final TreeMap<String, byte[]> extras = new TreeMap<>();
    String identity;
    AcceptorState state = AcceptorState.EMPTY;
}
