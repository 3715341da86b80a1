package burlarch.routing;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.Tenant;
import java.util.List;

/**
 * A client's request, received completely, with what the planner needs to know of it.
 *
 * @param id of the request, as the client sent it
 * @param route to which it matched
 * @param tenant null on a public route or where the configuration names no tenants
 * @param model null where the client named none
 * @param promptTokens tokens of the prompt as the client counts them, 0 if not given
 * @param maxOutputTokens limit of tokens in the response, 0 if not given
 * @param segments of the prompt in order, empty if not given; all but the last may be shared with other requests
 * @param resumes whether it resumes a stream at Last-Event-Id
 * @param receivedNanos when it had been received completely
 * @param deadlineNanos until when the client waits
 */
public record RouteRequest(
        String id,
        Route route,
        Tenant tenant,
        String model,
        int promptTokens,
        int maxOutputTokens,
        List<PromptSegment> segments,
        boolean resumes,
        long receivedNanos,
        long deadlineNanos) {

    /**
     * A segment of a prompt.
     *
     * @param id unsigned; equal ids stand for equal text
     * @param tokens length of the segment
     */
    public record PromptSegment(long id, int tokens) {}

    /** Tokens of all segments but the last; the last one belongs to this request or its session alone. */
    public int sharedTokens() {
        int sum = 0;
        for (int i = 0; i < segments.size() - 1; i++) {
            sum += segments.get(i).tokens();
        }
        return sum;
    }

    /** Tokens of the whole prompt: the sum of its segments, or the client's count if that is larger. */
    public int totalPromptTokens() {
        int sum = segments.isEmpty()
                ? 0
                : sharedTokens() + segments.get(segments.size() - 1).tokens();
        return Math.max(sum, promptTokens);
    }

    /** Rank of the request, 0 for the most urgent: its tenant's if that has one, else its route's. */
    public int rank() {
        Integer tenantRank = tenant == null ? null : tenant.priority();
        return tenantRank == null ? route.priority() : tenantRank;
    }

    /** Time left until the latency target of the route is missed; negative when it has been missed. */
    public long latencyTargetLeftNanos(long nowNanos) {
        return receivedNanos + route.targetLatencyMillis() * 1_000_000L - nowNanos;
    }
}
