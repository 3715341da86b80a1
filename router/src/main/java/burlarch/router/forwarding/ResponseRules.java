package burlarch.router.forwarding;

import burlarch.router.http.Headers;
import burlarch.routing.AttemptOutcome;
import org.eclipse.jetty.http.HttpFields;

/** Classifies the head of an instance's response: rejection, forwardable response, event stream. */
final class ResponseRules {
    private ResponseRules() {}

    /** The outcome of a response that rejects the request; null if the response does not reject it. */
    static AttemptOutcome rejection(int status, HttpFields fields) {
        if (status == 421) {
            return AttemptOutcome.MISDIRECTED;
        }
        return fields.contains(Headers.NOT_EXECUTED) ? AttemptOutcome.REJECTED : null;
    }

    /**
     * Whether a response that is not a rejection may be forwarded. A successful response must carry the
     * instance's signature and must not be content-encoded by an intermediary. A status that tells the client that
     * the request was not executed (408, 429, 503) must not be forwarded without {@link Headers#NOT_EXECUTED}.
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

    /** The outcome of a complete response with the given status. */
    static AttemptOutcome outcome(int status) {
        return status >= 500 ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED;
    }
}
