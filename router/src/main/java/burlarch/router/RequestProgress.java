package burlarch.router;

/**
 * What is known of one request of a client over all its sends, and what may follow. The only place that
 * decides it. No I/O and no clock.
 *
 * <p>What follows the end of a send, "again" where a further send is allowed at all:
 *
 * <table>
 * <caption>Follow-ups</caption>
 * <tr><th>known</th><th>may be repeated</th><th>may not</th></tr>
 * <tr><td>each send not sent or rejected</td><td>again, else 503</td><td>again, else 503</td></tr>
 * <tr><td>the last so, an earlier one unclear</td><td>again, else 502</td><td>can't come about</td></tr>
 * <tr><td>the last unclear, nothing passed on</td><td>again, else 502</td><td>502</td></tr>
 * <tr><td>the last unclear, part passed on</td><td>resume behind it, else cut</td><td>cut</td></tr>
 * <tr><td>time over, no send unclear</td><td>503</td><td>503</td></tr>
 * <tr><td>time over, one unclear</td><td>504</td><td>504</td></tr>
 * <tr><td>time over, part passed on</td><td>cut</td><td>cut</td></tr>
 * </table>
 */
final class RequestProgress {
    private final boolean repeatable;
    private boolean mayHaveRun;
    private boolean answerBegun;

    /** @param repeatable whether the request's route allows it to run more than once */
    RequestProgress(boolean repeatable) {
        this.repeatable = repeatable;
    }

    /** The head of an answer goes to the client; from now on it gets no other. */
    void answerBegins() {
        answerBegun = true;
    }

    boolean answerBegun() {
        return answerBegun;
    }

    /** A send has ended without a whole answer. */
    void sendEnded(SendState last) {
        mayHaveRun |= last.mayHaveRun();
    }

    /**
     * What follows a send that has ended without a whole answer.
     *
     * @param sendsLeft whether the route, the time and the drain allow a further send
     * @param canResume whether the events that have passed tell where another run would go on
     */
    FollowUp afterSend(boolean sendsLeft, boolean canResume) {
        if (!sendsLeft || !mayRunNow()) {
            return withoutSend();
        }
        if (!answerBegun) {
            return FollowUp.SEND_AGAIN;
        }
        return canResume ? FollowUp.RESUME : FollowUp.CUT;
    }

    /** What the client is told where no further send follows. */
    FollowUp withoutSend() {
        if (answerBegun) {
            return FollowUp.CUT;
        }
        return mayHaveRun ? FollowUp.FAIL : FollowUp.REFUSE;
    }

    /** What the client is told once the request's time is over. */
    FollowUp atDeadline() {
        if (answerBegun) {
            return FollowUp.CUT;
        }
        return mayHaveRun ? FollowUp.TIME_OUT : FollowUp.REFUSE;
    }

    private boolean mayRunNow() {
        return repeatable || !mayHaveRun;
    }
}
