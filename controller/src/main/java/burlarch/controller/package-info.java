/**
 * The controller program and the composition of its components.
 *
 * <p>Job: start the threads, sockets and disk ({@link burlarch.controller.ControllerProgram}), create and connect the
 * components of one controller ({@link burlarch.controller.ControllerRuntime}) and dispatch the messages of other nodes
 * to them ({@code NodeMessageDispatcher}). Thread: everything but the start runs on the one event loop of the process;
 * the acceptor runs on the disk thread and the control API's HTTP on Jetty's threads. State: none in this package; the
 * packages below own theirs.
 *
 * <table>
 * <caption>The packages; each uses only those above it</caption>
 * <tr><td>{@code error}</td><td>failures that the control API reports</td></tr>
 * <tr><td>{@code state}</td><td>the replicated state and its changes, as pure functions</td></tr>
 * <tr><td>{@code peers}</td><td>connections to the other controllers</td></tr>
 * <tr><td>{@code register}</td><td>acceptor, proposer, client and reconciler of the register</td></tr>
 * <tr><td>{@code distribution}</td><td>distribution of configurations and instances to routers</td></tr>
 * <tr><td>{@code instances}</td><td>replication of instance announcements</td></tr>
 * <tr><td>{@code ownership}</td><td>leases of singleton roles</td></tr>
 * <tr><td>{@code rollout}</td><td>rollout of weights to engines</td></tr>
 * <tr><td>{@code api}</td><td>HTTP API for operators and instances</td></tr>
 * </table>
 */
package burlarch.controller;
