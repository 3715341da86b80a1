/**
 * The prefix-cache index of one router: which engines and stores cache which prompt segments, according to their
 * events, their complete lists and the router's own requests. The index is a hint, because events may be lost or
 * arrive late: a wrong entry must not make the planner incorrect, only slower.
 *
 * <p>Threads and state: the planner owns its {@link burlarch.routing.index.PrefixCacheIndex} and calls it under its
 * lock. A {@code SegmentTable} belongs to one source of the index. Lookups run for each candidate engine of each
 * request and allocate nothing.
 */
package burlarch.routing.index;
