/**
 * Limits that a planner enforces: {@link burlarch.routing.admission.CacheMissAdmission} admits requests that miss the
 * prefix cache, by tenant; {@link burlarch.routing.admission.PriorityShedding} sheds less urgent requests in favour of
 * urgent cache misses; {@link burlarch.routing.admission.RetryBudget} bounds retries. Admission and the retry budget
 * divide a limit of the whole fleet by the number of live routers, without messages between routers.
 *
 * <p>Threads and state: each service has one object of each class. They are owned by the planner of the service and
 * used under that planner's lock. The state is kept in memory only; a restarted router starts with the initial rate
 * and an empty window.
 */
package burlarch.routing.admission;
