package burlarch.fleet;

/** The command line of the fleet's programs. */
public final class Main {
    private Main() {
    }

    public static void main(String[] arguments) {
        System.out.println("burlarch");
    }
}
