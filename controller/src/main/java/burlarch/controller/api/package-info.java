/**
 * The control API: the HTTP server for operators and instances, and the service behind it.
 *
 * <p>{@link burlarch.controller.api.ControlServer}, {@code ControlHandler}, {@code ControlExchange} and
 * {@code RequestBodyReader} run on Jetty's {@code control} threads and never block. They hold no state of the fleet.
 * {@link burlarch.controller.api.OperatorService} passes each call to the controller's event loop, on which the
 * register, the instances and the distribution run; those packages own the state. Paths, headers and bodies are part of
 * the API and must not change.
 */
package burlarch.controller.api;
