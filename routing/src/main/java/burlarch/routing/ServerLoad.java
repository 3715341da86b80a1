package burlarch.routing;

/**
 * Load that an instance reports in the X-Server-Load header of a response.
 *
 * @param running requests that are being executed
 * @param waiting requests in its queue
 * @param slots requests that can be executed at once, 0 if not reported
 */
public record ServerLoad(int running, int waiting, int slots) {}
