package burlarch.routing;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.Tenant;
import java.util.List;

/**
 * A completely received client request, with the properties that the planner needs.
 *
 * @param id request id, as sent by the client
 * @param route that it matched
 * @param tenant null on a public route or where no tenants are configured
 * @param model null if the client named none
 * @param promptTokens length of the prompt as stated by the client, 0 if not stated
 * @param maxOutputTokens limit of the response length, 0 if not stated
 * @param segments of the prompt in order, empty if not stated; all but the last may be shared with other requests
 * @param resumes whether it resumes a stream at Last-Event-Id
 * @param receivedNanos time at which the request was completely received
 * @param deadlineNanos time until which the client waits
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
     * One segment of a prompt.
     *
     * @param id unsigned; segments with equal ids have equal text
     * @param tokens length of the segment
     */
    public record PromptSegment(long id, int tokens) {}

    /**
     * Returns the tokens of all segments but the last. The last segment belongs to this request or its session alone.
     */
    public int sharedTokens() {
        int sum = 0;
        for (int i = 0; i < segments.size() - 1; i++) {
            sum += segments.get(i).tokens();
        }
        return sum;
    }

    /** Returns the tokens of the whole prompt: the sum of its segments, or the client's count if that is larger. */
    public int totalPromptTokens() {
        int sum = segments.isEmpty()
                ? 0
                : sharedTokens() + segments.get(segments.size() - 1).tokens();
        return Math.max(sum, promptTokens);
    }

    /**
     * Returns the priority rank of the request, 0 for the most urgent: the rank of its tenant if that has one, else of
     * its route.
     */
    public int rank() {
        Integer tenantRank = tenant == null ? null : tenant.priority();
        return tenantRank == null ? route.priority() : tenantRank;
    }

    /** Returns the time left until the route's latency target is missed; negative if it has been missed. */
    public long latencyTargetLeftNanos(long nowNanos) {
        return receivedNanos + route.targetLatencyMillis() * 1_000_000L - nowNanos;
    }
}
