package burlarch.coordination.membership;

/** IP:PORT as six bytes in a long: four of the address, two of the port. */
final class Ipv4Address {
    private static final int PARTS = 4;
    private static final int MAX_BYTE = 0xFF;
    private static final int MAX_PORT = 0xFFFF;
    private static final int PORT_BITS = 16;
    private static final int MAX_DIGITS = 5;

    private Ipv4Address() {}

    /** Throws IllegalArgumentException where the text isn't an IPv4 address with a port above 0. */
    static long pack(String address) {
        int colon = address.indexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("no IP:PORT: " + address);
        }
        long packed = 0;
        int from = 0;
        for (int part = 0; part < PARTS; part++) {
            int end = part < PARTS - 1 ? address.indexOf('.', from) : colon;
            packed = packed << Byte.SIZE | number(address, from, end, MAX_BYTE);
            from = end + 1;
        }
        int port = number(address, from, address.length(), MAX_PORT);
        if (port == 0) {
            throw new IllegalArgumentException("port 0: " + address);
        }
        return packed << PORT_BITS | port;
    }

    static String unpack(long packed) {
        StringBuilder text = new StringBuilder("255.255.255.255:65535".length());
        for (int part = PARTS - 1; part >= 0; part--) {
            text.append(packed >>> PORT_BITS + part * Byte.SIZE & MAX_BYTE).append(part > 0 ? '.' : ':');
        }
        return text.append(packed & MAX_PORT).toString();
    }

    private static int number(String text, int from, int to, int max) {
        int value = 0;
        if (to <= from || to - from > MAX_DIGITS) {
            throw new IllegalArgumentException("no IP:PORT: " + text);
        }
        for (int i = from; i < to; i++) {
            char digit = text.charAt(i);
            if (digit < '0' || digit > '9') {
                throw new IllegalArgumentException("no IP:PORT: " + text);
            }
            value = value * 10 + digit - '0';
        }
        if (value > max) {
            throw new IllegalArgumentException("no IP:PORT: " + text);
        }
        return value;
    }
}
