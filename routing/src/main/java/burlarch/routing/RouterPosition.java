package burlarch.routing;

/**
 * Position of a router among the live routers of its zone, ordered by name. All routers of a zone see nearly the same
 * order, so their positions differ.
 *
 * @param index from 0
 * @param count number of live routers in the zone, at least 1
 */
public record RouterPosition(int index, int count) {
    /** Position of a router that knows no other router. */
    public static final RouterPosition ALONE = new RouterPosition(0, 1);

    public RouterPosition {
        if (index < 0 || index >= count) {
            throw new IllegalArgumentException(
                    "router index must be from 0 and below the count: " + index + " of " + count);
        }
    }
}
