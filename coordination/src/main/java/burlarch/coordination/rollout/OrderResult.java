package burlarch.coordination.rollout;

/** How an engine answered an order. */
public enum OrderResult {
    /** 202: it is being done. */
    ACCEPTED,
    /** 200: it holds already. */
    ALREADY_LOADED,
    /** 409: another order is under way, or the sequence is another than expected. */
    CONFLICT,
    /** 412: a higher fencing token was seen. */
    FENCED,
    /** 400: no such order, or a version that has not been named. */
    INVALID,
    /** 421: another instance has that address. */
    MISDIRECTED,
    /** No clear answer: it may have been taken. */
    NO_RESPONSE
}
