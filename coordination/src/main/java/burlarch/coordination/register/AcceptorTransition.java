package burlarch.coordination.register;

/**
 * What an acceptor makes of one message.
 *
 * @param state to be made durable before {@code response} leaves, and then handed to {@link Acceptor#onPersisted}
 * @param changed whether {@code state} differs from the one before; if not, nothing has to be written
 * @param response to be dropped where {@code state} could not be made durable
 */
public record AcceptorTransition(AcceptorState state, boolean changed, RegisterMessage response) {}
