/**
 * The planner of one router. {@link burlarch.routing.planner.FleetPlanner} decides on each attempt of a request in
 * these steps: {@code RetryPolicy} (may a further attempt be made), {@code CandidateSelector} (which instances may
 * receive it), {@code PromptScheduler} or {@code PlainScheduler} (which one is best), {@code CacheMissAdmission} (is a
 * prefix-cache miss admitted), and {@code KvTransferPlanner} (from where the engine fetches cached segments, and to
 * which store it saves them). {@code InFlightAttempts} tracks each attempt from its placement to its end and updates
 * the estimates.
 *
 * <p>Threads and state: no I/O, no clock, no thread. {@code FleetState} owns services and instances, {@code
 * InFlightAttempts} the attempts, {@code AttemptHistory} the outcomes of earlier attempts of a request. All of it
 * belongs to one {@code FleetPlanner}, is kept in memory only, and is used under the lock that the caller holds around
 * each call. Schedulers reuse their arrays and results, so planning allocates little.
 */
package burlarch.routing.planner;
