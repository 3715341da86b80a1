/**
 * Connections to, and knowledge about, the other controllers.
 *
 * <p>Job: the connections to them ({@link burlarch.controller.peers.ControllerPeers}), their membership states
 * ({@link burlarch.controller.peers.ControllerMembershipView}), and the names that distinguish the starts of one
 * process ({@link burlarch.controller.peers.ProcessIncarnations}). Thread: the controller's event loop. Owner of the
 * state: each class owns its tables, in memory only. After a start they are rebuilt from seeds, disk and peers.
 */
package burlarch.controller.peers;
