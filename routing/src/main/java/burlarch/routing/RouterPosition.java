package burlarch.routing;

/**
 * The position of a router among the live routers of its zone, in the order of their names. All routers of a zone see
 * nearly the same order, so their positions differ.
 *
 * @param index from 0
 * @param count number of live routers in the zone, at least 1
 */
public record RouterPosition(int index, int count) {
    /** A router that knows no other one. */
    public static final RouterPosition ALONE = new RouterPosition(0, 1);

    public RouterPosition {
        if (index < 0 || index >= count) {
            throw new IllegalArgumentException("no position: " + index + " of " + count);
        }
    }
}
