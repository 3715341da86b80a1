package burlarch.coordination.register;

/**
 * What an acceptor makes of one message.
 *
 * @param state to be made durable before {@code reply} leaves, and then handed to {@link Acceptor#adopt}
 * @param changed whether {@code state} differs from the one before; if not, nothing has to be written
 * @param reply to be dropped where {@code state} could not be made durable
 */
public record AcceptorStep(AcceptorState state, boolean changed, RegisterMessage reply) {}
