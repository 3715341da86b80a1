/**
 * Subscription of routers to the prefix-cache events of engines and stores ("sources"): which router reads
 * which source, how updates are published to the other routers, and how duplicates and gaps are detected.
 *
 * <p>Threads: {@link burlarch.router.prefixcache.SourceSubscriptions} and the batches are used on the event loop;
 * updates of the sources that this router reads arrive on threads of the HTTP client. State:
 * {@link burlarch.router.prefixcache.PrefixIndexUpdater} owns the offsets, guarded by the planner's lock;
 * {@code SourceSubscriptions} owns the set of sources that are read. Nothing is stored on disk: after a restart a
 * router reads each source from its oldest event.
 */
package burlarch.router.prefixcache;
