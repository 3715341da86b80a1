package burlarch.router.forwarding;

import burlarch.router.http.Headers;
import burlarch.routing.AttemptOutcome;
import org.eclipse.jetty.http.HttpFields;

/** What the head of an instance's response means. */
final class ResponseRules {
    private ResponseRules() {}

    /** How the planner counts a response that rejects the request; null if it does not reject it. */
    static AttemptOutcome rejection(int status, HttpFields fields) {
        if (status == 421) {
            return AttemptOutcome.MISDIRECTED;
        }
        return fields.contains(Headers.NOT_EXECUTED) ? AttemptOutcome.REJECTED : null;
    }

    /**
     * Whether a response that is no rejection may be forwarded. A success must carry the signature and the
     * bytes of the instance itself. A status that promises that the request was not executed must not reach
     * the client without {@link Headers#NOT_EXECUTED}.
     */
    static boolean mayForward(int status, HttpFields fields) {
        if (status == 408 || status == 429 || status == 503) {
            return false;
        }
        return status >= 300 || fields.contains(Headers.SIGNATURE) && !fields.contains("Content-Encoding");
    }

    static boolean isEventStream(int status, HttpFields fields) {
        String type = fields.get("Content-Type");
        return status == 200 && type != null && type.startsWith("text/event-stream");
    }

    /** How the planner counts a complete response with that status. */
    static AttemptOutcome outcome(int status) {
        return status >= 500 ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED;
    }
}
