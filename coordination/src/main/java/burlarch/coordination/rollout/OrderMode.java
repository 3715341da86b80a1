package burlarch.coordination.rollout;

/** What an engine does with the requests that run when it is to load other weights. */
public enum OrderMode {
    /** They end first. */
    QUEUE("queue"),
    /** Their streams are reset. */
    TRUNCATE("truncate"),
    /** They go on under the new weights. */
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
