package burlarch.router;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.Tenant;
import burlarch.configuration.RouteTable;
import burlarch.routing.RouteRequest;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpURI;

/**
 * What the configuration in force says of a request.
 *
 * @param status of the answer where the request is not to be sent on, else 0
 * @param request null unless status is 0
 */
record Intake(int status, RouteRequest request) {
    private static final long LONGEST_MILLIS = 3_600_000;

    /** Finds route and tenant and reads the hints; {@code receivedNanos} is when the head came. */
    static Intake of(RouteTable table, HttpURI uri, HttpFields fields, long receivedNanos) {
        String id = Headers.single(fields, Headers.REQUEST_ID);
        String target = uri.getPathQuery();
        if (id == null || id.isEmpty() || uri.getFragment() != null || !isPlain(target)) {
            return new Intake(400, null);
        }
        Route route = table.match(hostName(fields.get(HttpHeader.HOST)), uri.getPath());
        if (route == null) {
            return new Intake(404, null);
        }
        String key = Headers.single(fields, Headers.CREDENTIAL);
        Tenant tenant = key == null ? null : table.tenantOf(key);
        if (tenant == null && table.requiresKey() && !route.isPublic()) {
            return new Intake(401, null);
        }
        int[] usage = HintHeaders.tokenUsage(fields.get("X-Token-Usage"));
        long wait = Math.min(Headers.number(fields.get(Headers.DEADLINE), LONGEST_MILLIS), route.timeoutMillis());
        return new Intake(
                0,
                new RouteRequest(
                        id,
                        route,
                        tenant,
                        fields.get("X-Model"),
                        usage[0],
                        usage[1],
                        HintHeaders.parts(fields.get("X-Prefix-Hash")),
                        fields.contains(Headers.LAST_EVENT_ID),
                        receivedNanos,
                        receivedNanos + wait * 1_000_000));
    }

    /** The host without its port; names are matched in lower case. */
    private static String hostName(String host) {
        if (host == null) {
            return "";
        }
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    /** Whether a target goes on byte for byte: visible ASCII only. */
    private static boolean isPlain(String target) {
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
