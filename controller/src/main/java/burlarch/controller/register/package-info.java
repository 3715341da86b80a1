/**
 * This controller's part in the replicated register, which holds the fleet's
 * {@link burlarch.controller.state.SystemState}.
 *
 * <p>Job: host the acceptor and the proposer, offer the register to the other packages, learn committed values from
 * other controllers, and keep the acceptor set in line with the controllers that are alive. The algorithm itself, with
 * its proof, is in {@code burlarch.coordination.register}.
 *
 * <table>
 * <caption>Who owns which state</caption>
 * <tr><th>state</th><th>owner</th><th>thread</th><th>recovery</th></tr>
 * <tr><td>what the acceptor has prepared and accepted</td><td>{@code LocalAcceptor}</td><td>disk thread</td><td>from
 * the disk ({@link burlarch.controller.register.RegisterStorage})</td></tr>
 * <tr><td>the running proposal and the queue behind it</td><td>{@code ProposalExecutor}</td><td>event loop</td>
 * <td>lost; callers see {@code UNCLEAR}</td></tr>
 * <tr><td>the newest known committed value</td><td>{@link burlarch.controller.register.CommittedState}</td><td>event
 * loop</td><td>fetched from peers or read from a quorum</td></tr>
 * <tr><td>the acceptor set of the newest known committed value</td><td>{@code StoredAcceptorSet}</td><td>disk
 * thread</td><td>from the disk</td></tr>
 * <tr><td>the time of the last message from each
 * acceptor</td><td>{@link burlarch.controller.register.QuorumContactMonitor}</td><td>event loop</td><td>starts without
 * contact</td></tr>
 * </table>
 *
 * <p>Other packages use {@link burlarch.controller.register.RegisterClient} to read and change the state,
 * {@link burlarch.controller.register.CommittedState} to follow it, and
 * {@link burlarch.controller.register.QuorumContactMonitor}. {@link burlarch.controller.register.RegisterReplica} wires
 * the package together.
 */
package burlarch.controller.register;
