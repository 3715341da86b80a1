package burlarch.router.server;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.Tenant;
import burlarch.configuration.RouteTable;
import burlarch.router.http.Headers;
import burlarch.router.http.HintHeaders;
import burlarch.routing.RouteRequest;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpURI;

/** Reader of request heads: determines route, tenant, deadline and placement hints by the configuration in force. */
public final class RequestReader {
    private static final long MAX_DEADLINE_MILLIS = 3_600_000;
    /** Applies to a request that matches no route. */
    private static final long DEFAULT_TIMEOUT_MILLIS = 60_000;

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final Result BAD_REQUEST = new Rejected(400);
    private static final Result UNAUTHORIZED = new Rejected(401);
    private static final Result NOT_FOUND = new Rejected(404);

    private RequestReader() {}

    /** Result of reading a request head. */
    public sealed interface Result {}

    /** The request may be forwarded. */
    public record Accepted(RouteRequest request) implements Result {}

    /** The request is rejected with the given status. */
    public record Rejected(int status) implements Result {}

    /**
     * Reads the head of a request.
     *
     * @param receivedNanos when the head was received, by {@link System#nanoTime}
     */
    public static Result read(RouteTable table, HttpURI uri, HttpFields fields, long receivedNanos) {
        String id = Headers.singleValue(fields, Headers.REQUEST_ID);
        String target = uri.getPathQuery();
        if (id == null || id.isEmpty() || uri.getFragment() != null || !isForwardable(target)) {
            return BAD_REQUEST;
        }
        Route route = table.match(hostName(fields.get(HttpHeader.HOST)), uri.getPath());
        if (route == null) {
            return NOT_FOUND;
        }
        String apiKey = Headers.singleValue(fields, Headers.CREDENTIAL);
        Tenant tenant = apiKey == null ? null : table.tenantOf(apiKey);
        if (tenant == null && table.requiresKey() && !route.isPublic()) {
            return UNAUTHORIZED;
        }
        int[] tokenUsage = HintHeaders.tokenUsage(fields.get("X-Token-Usage"));
        return new Accepted(new RouteRequest(
                id,
                route,
                tenant,
                fields.get("X-Model"),
                tokenUsage[0],
                tokenUsage[1],
                HintHeaders.promptSegments(fields.get("X-Prefix-Hash")),
                fields.contains(Headers.LAST_EVENT_ID),
                receivedNanos,
                deadlineNanos(route, fields, receivedNanos)));
    }

    /**
     * Returns when the response to a request is due, by {@link System#nanoTime}, also for one that can't be forwarded.
     *
     * @param receivedNanos when the head was received
     */
    public static long deadlineNanos(RouteTable table, HttpURI uri, HttpFields fields, long receivedNanos) {
        return deadlineNanos(table.match(hostName(fields.get(HttpHeader.HOST)), uri.getPath()), fields, receivedNanos);
    }

    private static long deadlineNanos(Route route, HttpFields fields, long receivedNanos) {
        long clientMillis = Headers.parseNumber(fields.get(Headers.DEADLINE), MAX_DEADLINE_MILLIS);
        long routeMillis = route == null ? DEFAULT_TIMEOUT_MILLIS : route.timeoutMillis();
        return receivedNanos + Math.min(clientMillis, routeMillis) * NANOS_PER_MILLI;
    }

    /** Returns the host name without the port; the route table matches names in lower case. */
    private static String hostName(String host) {
        if (host == null) {
            return "";
        }
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    /** Whether a target can be forwarded unchanged: it contains only visible ASCII and starts with a slash. */
    private static boolean isForwardable(String target) {
        if (target == null) {
            return false;
        }
        for (int i = 0; i < target.length(); i++) {
            char c = target.charAt(i);
            if (c <= ' ' || c >= 0x7f) {
                return false;
            }
        }
        return target.startsWith("/");
    }
}
