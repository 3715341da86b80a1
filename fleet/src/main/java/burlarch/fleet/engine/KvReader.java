package burlarch.fleet.engine;

import burlarch.routing.KvEvents;

/** Takes what is told of kept parts. The calls for one source come one after another. */
public interface KvReader {
    /** Events in their order. A new epoch voids all that was known of the source. */
    void onKvEvents(KvEvents events);

    /** The whole of what a source keeps. */
    void onKvList(KvEvents list);
}
