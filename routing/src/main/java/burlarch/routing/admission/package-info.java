/**
 * Limits that a planner keeps to: {@link burlarch.routing.admission.FetchAdmission} admits requests that miss
 * the prefix cache, by tenant; {@link burlarch.routing.admission.RetryBudget} bounds retries. Both divide a
 * limit of the whole fleet by the number of live routers, without messages between routers.
 *
 * <p>Threads and state: one of each for each service, owned by its planner and used under that planner's lock.
 * The state is in memory only; a restarted router begins with the initial rate and an empty window.
 */
package burlarch.routing.admission;
