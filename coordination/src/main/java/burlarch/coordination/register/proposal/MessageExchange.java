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
 * The outstanding request of a proposal, with its recipients and its resend interval. Each request has its own call
 * id, so a late response to an earlier request does not count for the present one.
 *
 * <p>The interval doubles from {@link #FIRST_RESEND_NANOS} to {@link #MAX_RESEND_NANOS}. Requests are idempotent, so
 * resending one is safe.
 */
final class MessageExchange {
    private static final long FIRST_RESEND_NANOS = 400_000_000L;
    private static final long MAX_RESEND_NANOS = 1_600_000_000L;

    private final Consumer<ProposalOutput> outputs;

    /** The acceptors that the request was sent to, by storage identity, in sending order. */
    private final Map<String, AcceptorMember> recipients = new LinkedHashMap<>();

    private long callId;
    private RegisterMessage request;
    private long resendIntervalNanos;

    /**
     * Creates an exchange without a request.
     *
     * @param lastCallId the first request has the next higher call id
     * @param outputs receives the messages to send
     */
    MessageExchange(long lastCallId, Consumer<ProposalOutput> outputs) {
        callId = lastCallId;
        this.outputs = outputs;
    }

    /** Sends a new request and stops expecting responses to the one before. */
    void begin(LongFunction<RegisterMessage> requestByCallId, List<AcceptorMember> members) {
        callId++;
        request = requestByCallId.apply(callId);
        recipients.clear();
        resendIntervalNanos = FIRST_RESEND_NANOS;
        sendToNew(members);
    }

    /** Sends the request to those of these acceptors that it was not sent to yet. */
    void sendToNew(List<AcceptorMember> members) {
        for (AcceptorMember member : members) {
            if (recipients.putIfAbsent(member.storageId(), member) == null) {
                outputs.accept(new ProposalOutput.Send(member, request));
            }
        }
    }

    /** Resends the request to the recipients that have not responded, and doubles the interval. */
    void resend(Predicate<String> hasResponded) {
        resendToSilent(hasResponded);
        resendIntervalNanos = Math.min(2 * resendIntervalNanos, MAX_RESEND_NANOS);
    }

    /**
     * Resends the request to the recipients that have not responded, and resets the interval to
     * {@link #FIRST_RESEND_NANOS}.
     */
    void resendWithFirstInterval(Predicate<String> hasResponded) {
        resendToSilent(hasResponded);
        resendIntervalNanos = FIRST_RESEND_NANOS;
    }

    /** Returns the interval until the request is to be resent. */
    long resendIntervalNanos() {
        return resendIntervalNanos;
    }

    /** Returns whether a response with that call id and from that disk belongs to the present request. */
    boolean expectsResponse(long responseCallId, String storageId) {
        return responseCallId == callId && recipients.containsKey(storageId);
    }

    private void resendToSilent(Predicate<String> hasResponded) {
        for (AcceptorMember member : recipients.values()) {
            if (!hasResponded.test(member.storageId())) {
                outputs.accept(new ProposalOutput.Send(member, request));
            }
        }
    }
}
