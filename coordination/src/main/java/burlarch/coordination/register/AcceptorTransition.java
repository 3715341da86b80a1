package burlarch.coordination.register;

/**
 * What one request makes of an acceptor's state, and the response to it. The response must be sent only after
 * {@code state} is durable.
 *
 * @param state the state after the request; to be made durable and then handed to {@link Acceptor#onPersisted}
 * @param changed whether {@code state} differs from the state before; when it does not, nothing has to be
 *     persisted
 * @param response to be dropped when {@code state} could not be made durable
 */
public record AcceptorTransition(AcceptorState state, boolean changed, RegisterMessage response) {
    static AcceptorTransition unchanged(AcceptorState state, RegisterMessage response) {
        return new AcceptorTransition(state, false, response);
    }

    static AcceptorTransition changedTo(AcceptorState next, RegisterMessage response) {
        return new AcceptorTransition(next, true, response);
    }
}
