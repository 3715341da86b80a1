/**
 * What this controller knows of the other controllers.
 *
 * <p>Job: the connections to them ({@link burlarch.controller.peers.ControllerPeers}), what membership says of them
 * ({@link burlarch.controller.peers.ControllerMembershipView}), and the names that distinguish the starts of one
 * process ({@link burlarch.controller.peers.ProcessIncarnations}). Thread: the controller's event loop. Owner of the
 * state: each class its own tables, in memory only; they are rebuilt from seeds, disk and peers after a start.
 */
package burlarch.controller.peers;
