package burlarch.coordination.rollout;

/** How an engine treats its running requests when it loads other weights. */
public enum OrderMode {
    /** They finish before the load begins. */
    QUEUE("queue"),
    /** Their streams are reset. */
    TRUNCATE("truncate"),
    /** They continue with the new weights. */
    RETAIN("retain");

    private final String wireName;

    OrderMode(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name in an order's body. */
    public String wireName() {
        return wireName;
    }
}
