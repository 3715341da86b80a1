package burlarch.coordination.rollout;

/** What an engine does with its running requests when it is to load other weights. */
public enum OrderMode {
    /** They finish first. */
    QUEUE("queue"),
    /** Their streams are reset. */
    TRUNCATE("truncate"),
    /** They go on with the new weights. */
    RETAIN("retain");

    private final String wireName;

    OrderMode(String wireName) {
        this.wireName = wireName;
    }

    /** The name in an order's body. */
    public String wireName() {
        return wireName;
    }
}
