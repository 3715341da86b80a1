package burlarch.testing.client;

import java.nio.charset.StandardCharsets;
import java.util.Random;

/**
 * What a misbehaving client sends on one connection, after which it keeps the connection open and reads nothing. No
 * message exceeds the size limits of its port.
 */
public enum Misbehavior {
    /** Nothing at all. */
    SILENCE {
        @Override
        String text(RequestTemplate template, int number, Random random) {
            return "";
        }
    },
    /** A head of the shortest lines that never ends. */
    SHORT_LINES_WITHOUT_END {
        @Override
        String text(RequestTemplate template, int number, Random random) {
            return fill(template, template.head("GET", number), random, Misbehavior::shortLine);
        }
    },
    /** A head of short lines with odd names and values that never ends. */
    ODD_LINES_WITHOUT_END {
        @Override
        String text(RequestTemplate template, int number, Random random) {
            return fill(template, template.head("GET", number), random, Misbehavior::oddLine);
        }
    },
    /** A complete head of short lines, and one byte of a longer body. */
    SHORT_LINES_BEFORE_UNFINISHED_BODY {
        @Override
        String text(RequestTemplate template, int number, Random random) {
            String head = template.head("POST", number) + "Content-Length: 1000\r\n";
            return fill(template, head, random, Misbehavior::shortLine) + "\r\nx";
        }
    },
    /** A value that goes on in very many continuation lines. */
    CONTINUATION_LINES {
        @Override
        String text(RequestTemplate template, int number, Random random) {
            String head = template.head("GET", number) + "X-Folded: a\r\n";
            return fill(template, head, random, drawn -> " b\r\n");
        }
    },
    /** A complete request with a known name very many times; the connection rests after the response. */
    REPEATED_KNOWN_NAME {
        @Override
        String text(RequestTemplate template, int number, Random random) {
            String head = template.head("GET", number);
            return fill(template, head, random, drawn -> "Accept:" + token(drawn, 4) + "\r\n") + "\r\n";
        }
    },
    /** Lists of very many connection options and prompt segments, and one byte of a longer body. */
    LONG_LISTS {
        @Override
        String text(RequestTemplate template, int number, Random random) {
            StringBuilder lists = new StringBuilder("0:1");
            int half = (template.maxHeadBytes() - template.head("POST", number).length()) / 2 - RESERVED_BYTES;
            while (lists.length() < half) {
                lists.append(',')
                        .append(Integer.toHexString(random.nextInt(1 << 12)))
                        .append(":1");
            }
            StringBuilder options = new StringBuilder("keep-alive");
            while (options.length() < half) {
                options.append(',').append(token(random, 3));
            }
            return template.head("POST", number) + "Content-Length: 1000\r\nX-Prefix-Hash: " + lists
                    + "\r\nConnection: " + options + "\r\n\r\nx";
        }
    },
    /** A chunked body with very many short trailers that never end. */
    TRAILERS_WITHOUT_END {
        @Override
        String text(RequestTemplate template, int number, Random random) {
            String message = template.head("POST", number) + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
            return fill(template, message, random, Misbehavior::shortLine);
        }
    },
    /** A chunk whose extension never ends. */
    CHUNK_EXTENSION_WITHOUT_END {
        @Override
        String text(RequestTemplate template, int number, Random random) {
            return template.head("POST", number) + "Transfer-Encoding: chunked\r\n\r\n1"
                    + ";a=b".repeat(template.maxHeadBytes());
        }
    },
    /** A body in chunks of one byte that never ends. */
    SMALLEST_CHUNKS {
        @Override
        String text(RequestTemplate template, int number, Random random) {
            return template.head("POST", number) + "Transfer-Encoding: chunked\r\n\r\n"
                    + "1\r\nx\r\n".repeat(template.maxHeadBytes());
        }
    },
    /** Complete requests with heads of short lines, one after the other, whose responses are not read. */
    PIPELINED_SHORT_LINES {
        @Override
        String text(RequestTemplate template, int number, Random random) {
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < PIPELINED_REQUESTS; i++) {
                String head = template.head("GET", number * PIPELINED_REQUESTS + i);
                requests.append(fill(template, head, random, Misbehavior::shortLine))
                        .append("\r\n");
            }
            return requests.toString();
        }
    },
    /** Ordinary requests, one after the other, whose responses are not read. */
    PIPELINED_ORDINARY {
        @Override
        String text(RequestTemplate template, int number, Random random) {
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < PIPELINED_ORDINARY_REQUESTS; i++) {
                requests.append(template.head("GET", number * PIPELINED_ORDINARY_REQUESTS + i))
                        .append("\r\n");
            }
            return requests.toString();
        }
    },
    /** Complete requests that differ in a very long target. */
    LONG_TARGETS {
        @Override
        String text(RequestTemplate template, int number, Random random) {
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < PIPELINED_REQUESTS; i++) {
                int requestNumber = number * PIPELINED_REQUESTS + i;
                String lines = template.headerLines().apply(requestNumber);
                int targetBytes = template.maxHeadBytes() - lines.length() - RESERVED_BYTES;
                StringBuilder target = new StringBuilder(template.path()).append(requestNumber);
                while (target.length() < targetBytes) {
                    target.append("/a;b");
                }
                requests.append("GET ")
                        .append(target)
                        .append(" HTTP/1.1\r\n")
                        .append(lines)
                        .append("\r\n");
            }
            return requests.toString();
        }
    };

    private static final int RESERVED_BYTES = 128;
    private static final int PIPELINED_REQUESTS = 64;
    private static final int PIPELINED_ORDINARY_REQUESTS = 400;
    private static final String TOKEN_CHARACTERS = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~";

    /** Draws one line of a head. */
    private interface Line {
        String draw(Random random);
    }

    /** Returns what connection {@code number} sends; the same for the same seed. */
    public final byte[] bytes(RequestTemplate template, int number, long seed) {
        return text(template, number, new Random(seed ^ number)).getBytes(StandardCharsets.ISO_8859_1);
    }

    abstract String text(RequestTemplate template, int number, Random random);

    /** Appends lines to a message up to the size limit of its head. */
    private static String fill(RequestTemplate template, String message, Random random, Line line) {
        StringBuilder filled = new StringBuilder(message);
        while (filled.length() < template.maxHeadBytes() - RESERVED_BYTES) {
            filled.append(line.draw(random));
        }
        return filled.toString();
    }

    private static String shortLine(Random random) {
        return token(random, 1) + ":\r\n";
    }

    private static String oddLine(Random random) {
        String[] values = {"", " ", "\t", ",", "\"", ";", "=,,", "%"};
        return token(random, 1 + random.nextInt(3)) + ":" + values[random.nextInt(values.length)] + "\r\n";
    }

    private static String token(Random random, int length) {
        StringBuilder token = new StringBuilder(length);
        for (int i = 0; i < length; i++) {
            token.append(TOKEN_CHARACTERS.charAt(random.nextInt(TOKEN_CHARACTERS.length())));
        }
        return token.toString();
    }
}
