/**
 * The prefix-cache index of one router: which engines and stores cache which prompt segments, as far as their
 * events, their complete lists and the router's own sends tell. The index is a hint: events get lost and
 * arrive late, so the planner must stay correct, and only gets slower, if an entry is wrong.
 *
 * <p>Threads and state: the planner owns the one {@link burlarch.routing.index.PrefixCacheIndex} and calls it
 * under its lock; a {@code SegmentTable} belongs to one source of the index. Lookups run for each candidate
 * engine of each request and allocate nothing.
 */
package burlarch.routing.index;
