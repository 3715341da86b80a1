package burlarch.simulation.coordination.plan;

/** Names and addresses of the machines of a simulated fleet. Stored scenarios use the names, so they do not
 * change. */
public final class FleetNames {
    private static final String CONTROLLER_PREFIX = "core-";
    private static final String ROUTER_PREFIX = "router-";
    private static final String OPERATOR_PREFIX = "operator-";
    private static final String ENGINE_PREFIX = "engine-";
    private static final String SERVER_PREFIX = "server-";

    private FleetNames() {}

    /** Returns the name of a controller by its number, from 1. */
    public static String controller(int number) {
        return CONTROLLER_PREFIX + number;
    }

    /** Returns whether the machine of that name is a controller. */
    public static boolean isController(String name) {
        return name.startsWith(CONTROLLER_PREFIX);
    }

    /** Returns the name of the controller at an address of the form of {@link #controllerAddress}. */
    public static String controllerAt(String address) {
        return CONTROLLER_PREFIX + address.substring(address.lastIndexOf('.') + 1, address.indexOf(':'));
    }

    /** Returns the address of a controller by its number. */
    public static String controllerAddress(int number) {
        return address(1, number);
    }

    /** Returns the name of a router by its number, from 1. */
    public static String router(int number) {
        return ROUTER_PREFIX + number;
    }

    /** Returns the address of a router by its number. */
    public static String routerAddress(int number) {
        return address(2, number);
    }

    /** Returns the name of an operator by its number, from 1. */
    public static String operator(int number) {
        return OPERATOR_PREFIX + number;
    }

    /** Returns the address of an operator by its number. */
    public static String operatorAddress(int number) {
        return address(3, number);
    }

    /** Returns the name of an instance that loads weights by its number, from 1. */
    public static String engine(int number) {
        return ENGINE_PREFIX + number;
    }

    /** Returns the address of an instance that loads weights by its number. */
    public static String engineAddress(int number) {
        return address(4, number);
    }

    /** Returns the name of an instance without weights by its number, from 1. */
    public static String server(int number) {
        return SERVER_PREFIX + number;
    }

    /** Returns the address of an instance without weights by its number. */
    public static String serverAddress(int number) {
        return address(5, number);
    }

    private static String address(int subnet, int number) {
        return "10.0." + subnet + "." + number + ":7340";
    }
}
