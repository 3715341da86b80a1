package burlarch.coordination.membership;

/** Conversion between IP:PORT text and the low six bytes of a long: four for the address, then two for the port. */
final class Ipv4Address {
    private static final int OCTETS = 4;
    private static final int MAX_BYTE = 0xFF;
    private static final int MAX_PORT = 0xFFFF;
    private static final int PORT_BITS = 16;
    private static final int MAX_DIGITS = 5;

    private Ipv4Address() {}

    /**
     * Packs an IP:PORT text.
     *
     * @throws IllegalArgumentException if the text is not an IPv4 address with a port above 0
     */
    static long pack(String address) {
        int colon = address.indexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("address is not an IPv4 IP:PORT: " + address);
        }
        long packed = 0;
        int from = 0;
        for (int octet = 0; octet < OCTETS; octet++) {
            int end = octet < OCTETS - 1 ? address.indexOf('.', from) : colon;
            packed = packed << Byte.SIZE | parseNumber(address, from, end, MAX_BYTE);
            from = end + 1;
        }
        int port = parseNumber(address, from, address.length(), MAX_PORT);
        if (port == 0) {
            throw new IllegalArgumentException("address has port 0, expected 1 to 65535: " + address);
        }
        return packed << PORT_BITS | port;
    }

    /** Returns the IP:PORT text of a packed address. */
    static String unpack(long packed) {
        StringBuilder text = new StringBuilder("255.255.255.255:65535".length());
        for (int octet = OCTETS - 1; octet >= 0; octet--) {
            text.append(packed >>> PORT_BITS + octet * Byte.SIZE & MAX_BYTE).append(octet > 0 ? '.' : ':');
        }
        return text.append(packed & MAX_PORT).toString();
    }

    private static int parseNumber(String text, int from, int to, int max) {
        int value = 0;
        if (to <= from || to - from > MAX_DIGITS) {
            throw new IllegalArgumentException("address is not an IPv4 IP:PORT: " + text);
        }
        for (int i = from; i < to; i++) {
            char digit = text.charAt(i);
            if (digit < '0' || digit > '9') {
                throw new IllegalArgumentException("address is not an IPv4 IP:PORT: " + text);
            }
            value = value * 10 + digit - '0';
        }
        if (value > max) {
            throw new IllegalArgumentException("address is not an IPv4 IP:PORT: " + text);
        }
        return value;
    }
}
