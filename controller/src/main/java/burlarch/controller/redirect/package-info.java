/**
 * The control address of machines without a disk: names a controller to each caller.
 *
 * <p>{@link burlarch.controller.redirect.ControlRedirectorProgram} starts the event loop, membership and the HTTP
 * server; {@code RedirectTargets} decides which controller is named. The program holds no state of the fleet and has
 * no vote; what it knows of controllers it learns from the seeds and from membership, and it forgets it when it ends.
 */
package burlarch.controller.redirect;
