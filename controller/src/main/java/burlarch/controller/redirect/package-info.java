/**
 * The control redirector, which serves the control address of machines without a disk.
 *
 * <p>{@link burlarch.controller.redirect.ControlRedirectorProgram} starts the event loop, membership and the HTTP
 * server; {@code RedirectTargets} selects the controller for each call. The program has no part of the replicated state
 * and no vote. It learns the controllers from the seeds and from membership, in memory only.
 */
package burlarch.controller.redirect;
