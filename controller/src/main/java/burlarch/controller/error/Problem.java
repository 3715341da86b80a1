package burlarch.controller.error;

/**
 * One thing that is wrong with a call's content.
 *
 * @param field where, as a path into the content; empty for the whole
 * @param reason what is wrong, for a reader
 */
public record Problem(String field, String reason) {}
