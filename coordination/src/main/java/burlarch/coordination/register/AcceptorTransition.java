package burlarch.coordination.register;

/**
 * The outcome of one request at an acceptor: its next state, and the response. The response must be sent only after
 * {@code state} is durable.
 *
 * @param state the state after the request; the caller makes it durable and then passes it to
 *     {@link Acceptor#onPersisted}
 * @param changed whether {@code state} differs from the state before; if not, nothing has to be persisted
 * @param response the response to send; dropped when {@code state} could not be made durable
 */
public record AcceptorTransition(AcceptorState state, boolean changed, RegisterMessage response) {
    static AcceptorTransition unchanged(AcceptorState state, RegisterMessage response) {
        return new AcceptorTransition(state, false, response);
    }

    static AcceptorTransition changedTo(AcceptorState next, RegisterMessage response) {
        return new AcceptorTransition(next, true, response);
    }
}
