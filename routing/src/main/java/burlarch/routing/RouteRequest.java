package burlarch.routing;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.Tenant;
import java.util.List;

/**
 * One request of a client, read whole, as the planner sees it.
 *
 * @param id of the request, as the client sent it
 * @param tenant null on a public route or where the configuration names no tenants
 * @param model null where the client named none
 * @param promptTokens tokens of the prompt as the client counts them, 0 if not told
 * @param maxOutputTokens most tokens of the answer, 0 if not told
 * @param segments of the prompt in order, empty if not told
 * @param resumes whether it takes up a stream at Last-Event-Id
 * @param receivedNanos when it was read whole
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

    /** A part of a prompt: its id as an unsigned number, and its length. */
    public record PromptSegment(long id, int tokens) {}
}
