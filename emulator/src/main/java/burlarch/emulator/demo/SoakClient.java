package burlarch.emulator.demo;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * A client that uses each connection until it ends: it sends one request after the other, also while the router drains,
 * and then connects to another router. Runs on a thread of its own.
 */
final class SoakClient implements Runnable {
    private static final int DEADLINE_MILLIS = 4_000;
    /** A router may end a request so long before its deadline. */
    private static final int DEADLINE_MARGIN_MILLIS = 300;

    private static final int MAX_THINK_MILLIS = 20;
    private static final int RECONNECT_DELAY_MILLIS = 20;
    private static final int LARGE_BODY_BYTES = 200_000;
    private static final long SLOW_READER_PAUSE_MILLIS = 40;
    private static final int GIVE_UP_MILLIS = 60;
    private static final int SUBJECTS = 12;
    private static final int OUTPUT_TOKENS = 12;
    private static final int MAX_RESPONSE_MILLIS = DEADLINE_MILLIS + 1_000;
    /** Each request is of one of these, drawn with equal probability. */
    private static final SoakRequest.Kind[] MIX = {
        SoakRequest.Kind.READ,
        SoakRequest.Kind.READ,
        SoakRequest.Kind.READ,
        SoakRequest.Kind.WRITE,
        SoakRequest.Kind.WRITE,
        SoakRequest.Kind.LARGE_WRITE,
        SoakRequest.Kind.STREAM,
        SoakRequest.Kind.SLOW_STREAM,
        SoakRequest.Kind.GIVEN_UP_STREAM
    };

    private final List<String> routerIps;
    private final SoakObservations observations;
    private final Random random;
    private volatile boolean stopped;

    SoakClient(List<String> routerIps, SoakObservations observations, long seed) {
        this.routerIps = routerIps;
        this.observations = observations;
        this.random = new Random(seed);
    }

    /** Ends the client after its current request. */
    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        try {
            while (!stopped) {
                useConnection(random.nextInt(routerIps.size()));
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void useConnection(int router) throws InterruptedException {
        String name = SoakFleet.routerName(router + 1);
        try (SoakConnection connection =
                new SoakConnection(routerIps.get(router), LoopbackNetwork.FRONT_PORT, MAX_RESPONSE_MILLIS)) {
            boolean reusable = true;
            while (!stopped && reusable) {
                reusable = exchange(connection, name, MIX[random.nextInt(MIX.length)]);
                Thread.sleep(random.nextInt(MAX_THINK_MILLIS));
            }
        } catch (IOException notAccepted) {
            Thread.sleep(RECONNECT_DELAY_MILLIS);
        }
    }

    /** Makes one request; returns whether the connection may carry another one. */
    private boolean exchange(SoakConnection connection, String router, SoakRequest.Kind kind)
            throws InterruptedException {
        String id = Long.toHexString(random.nextLong());
        long sentNanos = System.nanoTime();
        try {
            connection.send(request(kind, id));
            sentNanos = System.nanoTime();
            if (kind == SoakRequest.Kind.GIVEN_UP_STREAM) {
                Thread.sleep(random.nextInt(GIVE_UP_MILLIS));
                observations.onEnded(ended(id, kind, router, sentNanos, SoakRequest.End.GIVEN_UP, 0, ""));
                return false;
            }
            SoakConnection.Response response =
                    connection.receive(kind == SoakRequest.Kind.SLOW_STREAM ? SLOW_READER_PAUSE_MILLIS : 0);
            SoakRequest.End end = response.complete() ? SoakRequest.End.ANSWERED : SoakRequest.End.CONNECTION_ENDED;
            observations.onEnded(ended(id, kind, router, sentNanos, end, response.status(), fault(id, kind, response)));
            return !response.closesConnection();
        } catch (SocketTimeoutException late) {
            observations.onEnded(ended(id, kind, router, sentNanos, SoakRequest.End.GIVEN_UP, 0, ""));
            return false;
        } catch (IOException closed) {
            observations.onEnded(ended(id, kind, router, sentNanos, SoakRequest.End.CONNECTION_ENDED, 0, ""));
            return false;
        }
    }

    private static SoakRequest ended(
            String id,
            SoakRequest.Kind kind,
            String router,
            long sentNanos,
            SoakRequest.End end,
            int status,
            String fault) {
        return new SoakRequest(id, kind, router, sentNanos, System.nanoTime(), end, status, fault);
    }

    /** Returns what is wrong with a successful response, or an empty string. */
    private static String fault(String id, SoakRequest.Kind kind, SoakConnection.Response response) {
        if (response.status() != SoakRequest.OK) {
            return "";
        }
        if (!id.equals(response.headers().get("x-request-id"))) {
            return "response to " + response.headers().get("x-request-id");
        }
        if (!kind.isStream()) {
            return response.complete() && !response.body().endsWith(" " + id) ? "body of another request" : "";
        }
        return streamFault(response);
    }

    private static String streamFault(SoakConnection.Response response) {
        long lastNumber = 0;
        boolean ended = false;
        for (String line : response.body().split("\n")) {
            if (line.startsWith("id: ")) {
                long number = Long.parseLong(line.substring("id: ".length()).trim());
                if (number != lastNumber + 1) {
                    return "event " + number + " after " + lastNumber;
                }
                lastNumber = number;
            }
            ended |= line.endsWith(" end");
        }
        return response.complete() && !ended ? "complete before its last event" : "";
    }

    private byte[] request(SoakRequest.Kind kind, String id) throws IOException {
        String body = kind == SoakRequest.Kind.LARGE_WRITE ? "x".repeat(LARGE_BODY_BYTES) : "{}";
        boolean hasBody = kind != SoakRequest.Kind.READ;
        StringBuilder head = new StringBuilder(256)
                .append(hasBody ? "POST " : "GET ")
                .append(path(kind))
                .append("item HTTP/1.1\r\nHost: ")
                .append(DemoConfiguration.HOST)
                .append("\r\nX-Request-Id: ")
                .append(id)
                .append("\r\nX-Request-Deadline: ")
                .append(DEADLINE_MILLIS)
                .append("\r\nX-Credential: ")
                .append(DemoConfiguration.KEYS[random.nextInt(DemoConfiguration.KEYS.length)])
                .append("\r\n");
        if (kind.isStream()) {
            int subject = random.nextInt(SUBJECTS);
            head.append("X-Model: ")
                    .append(DemoConfiguration.MODEL)
                    .append("\r\nX-Prefix-Hash: a0:100,b")
                    .append(subject)
                    .append(":100\r\nX-Token-Usage: 200,")
                    .append(OUTPUT_TOKENS)
                    .append("\r\n");
        }
        if (hasBody) {
            head.append("Content-Length: ").append(body.length()).append("\r\n");
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        if (hasBody) {
            bytes.write(body.getBytes(StandardCharsets.ISO_8859_1));
        }
        return bytes.toByteArray();
    }

    private static String path(SoakRequest.Kind kind) {
        if (kind.isStream()) {
            return DemoConfiguration.TALK;
        }
        return kind == SoakRequest.Kind.READ ? DemoConfiguration.READ : DemoConfiguration.WRITE;
    }

    /** Returns whether the deadline of a request was reached, or its router's margin before the deadline. */
    static boolean reachedDeadline(SoakRequest request) {
        long usedMillis = TimeUnit.NANOSECONDS.toMillis(request.endedNanos() - request.sentNanos());
        return usedMillis >= DEADLINE_MILLIS - DEADLINE_MARGIN_MILLIS;
    }
}
