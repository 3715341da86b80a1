package burlarch.coordination.rollout;

/** The result of an order to an engine, by the HTTP status of its response. */
public enum OrderResult {
    /** 202: the engine executes the order. */
    ACCEPTED,
    /** 200: that version is loaded already. */
    ALREADY_LOADED,
    /** 409: another order is being executed, or the engine's sequence is not the expected one. */
    CONFLICT,
    /** 412: the engine has seen a higher fencing token. */
    FENCED,
    /** 400: the order is malformed, or its version has not been named. */
    INVALID,
    /** 421: another instance has that address. */
    MISDIRECTED,
    /** No response, or none that shows the outcome: the order may have been accepted. */
    NO_RESPONSE
}
