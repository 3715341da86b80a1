package burlarch.controller.state;

/**
 * Who owns a key.
 *
 * @param holder the owner's name
 * @param token fencing token, above those of all earlier owners of any key
 */
public record Lease(String holder, long token) {}
