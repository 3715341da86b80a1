package burlarch.coordination.register.proposal;

import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.Predicate;

/**
 * The request of a proposal that is out at present: who has received it, and in which interval it is sent
 * again. Each request has a call id of its own, so a late response to an earlier request does not count for the
 * present one.
 *
 * <p>The interval doubles from {@link #FIRST_RESEND_NANOS} to {@link #MAX_RESEND_NANOS}. Requests are
 * idempotent, so sending one again is safe.
 */
final class MessageExchange {
    private static final long FIRST_RESEND_NANOS = 400_000_000L;
    private static final long MAX_RESEND_NANOS = 1_600_000_000L;

    private final Consumer<ProposalOutput> outputs;

    /** The acceptors that the request was sent to, by storage identity, in the order of sending. */
    private final Map<String, AcceptorMember> recipients = new LinkedHashMap<>();

    private long callId;
    private RegisterMessage request;
    private long resendIntervalNanos;

    /**
     * Creates an exchange without a request.
     *
     * @param lastCallId the first request has the call id that follows
     * @param outputs takes the messages to send
     */
    MessageExchange(long lastCallId, Consumer<ProposalOutput> outputs) {
        callId = lastCallId;
        this.outputs = outputs;
    }

    /** Ends the exchange before this one and sends a new request. */
    void begin(LongFunction<RegisterMessage> requestByCallId, List<AcceptorMember> members) {
        callId++;
        request = requestByCallId.apply(callId);
        recipients.clear();
        resendIntervalNanos = FIRST_RESEND_NANOS;
        sendToNew(members);
    }

    /** Sends the request to those of these acceptors that have not received it yet. */
    void sendToNew(List<AcceptorMember> members) {
        for (AcceptorMember member : members) {
            if (recipients.putIfAbsent(member.storageId(), member) == null) {
                outputs.accept(new ProposalOutput.Send(member, request));
            }
        }
    }

    /** Sends the request again to the recipients that have not responded, and doubles the interval. */
    void resend(Predicate<String> hasResponded) {
        sendAgain(hasResponded);
        resendIntervalNanos = Math.min(2 * resendIntervalNanos, MAX_RESEND_NANOS);
    }

    /**
     * Sends the request again to the recipients that have not responded, and starts with the first interval
     * anew.
     */
    void resendWithFirstInterval(Predicate<String> hasResponded) {
        sendAgain(hasResponded);
        resendIntervalNanos = FIRST_RESEND_NANOS;
    }

    /** The interval until the request is to be sent again. */
    long resendIntervalNanos() {
        return resendIntervalNanos;
    }

    /** Whether a response with that call id and from that disk belongs to the present request. */
    boolean expectsResponse(long responseCallId, String storageId) {
        return responseCallId == callId && recipients.containsKey(storageId);
    }

    private void sendAgain(Predicate<String> hasResponded) {
        for (AcceptorMember member : recipients.values()) {
            if (!hasResponded.test(member.storageId())) {
                outputs.accept(new ProposalOutput.Send(member, request));
            }
        }
    }
}
