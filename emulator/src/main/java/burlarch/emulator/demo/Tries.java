package burlarch.emulator.demo;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;

/** One client's request: its tries at routers, each with an id of its own, until its time is up. */
final class Tries {
    private static final int MOST = 4;
    private static final long PAUSE_MILLIS = 60;

    private final HttpClient http;
    private final RouterList routers;
    private final Ledger ledger;

    /**
     * What a client wants.
     *
     * @param repeatable whether it may run more than once
     * @param headers names and values in turn
     */
    record Wish(String method, String path, boolean repeatable, boolean stream, String... headers) {}

    /** How a try ended. */
    private enum End {
        SERVED,
        SERVED_LATE,
        NOT_RUN,
        UNKNOWN,
        REFUSED
    }

    Tries(HttpClient http, RouterList routers, Ledger ledger) {
        this.http = http;
        this.routers = routers;
        this.ledger = ledger;
    }

    /** Asks until there is an answer; returns when it is settled. */
    void ask(Wish wish) throws InterruptedException {
        long began = System.nanoTime();
        ledger.asked();
        for (int count = 0; count < MOST; count++) {
            long left = DemoConfiguration.TIMEOUT_MILLIS - (System.nanoTime() - began) / 1_000_000;
            if (left <= 0) {
                break;
            }
            End end = once(wish, began, left);
            if (end == End.SERVED || end == End.SERVED_LATE) {
                ledger.served(end == End.SERVED);
                return;
            }
            if (end == End.REFUSED || end == End.UNKNOWN && !wish.repeatable()) {
                break;
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        ledger.failed();
    }

    private End once(Wish wish, long began, long leftMillis) throws InterruptedException {
        String id = Long.toHexString(ThreadLocalRandom.current().nextLong());
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://" + routers.any() + wish.path()))
                .timeout(Duration.ofMillis(leftMillis))
                .header("Host", DemoConfiguration.HOST)
                .header("X-Request-Id", id)
                .header("X-Request-Deadline", Long.toString(leftMillis))
                .headers(wish.headers())
                .method(
                        wish.method(),
                        wish.method().equals("GET")
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString("{}"));
        if (!wish.repeatable()) {
            ledger.atMostOnce(id);
        }
        StreamCheck check = new StreamCheck();
        try {
            HttpResponse<Void> answer = http.send(builder.build(), HttpResponse.BodyHandlers.fromLineSubscriber(check));
            return meaning(wish, id, answer, check, began);
        } catch (ConnectException notSent) {
            return End.NOT_RUN;
        } catch (IOException broken) {
            return End.UNKNOWN;
        }
    }

    private End meaning(Wish wish, String id, HttpResponse<Void> answer, StreamCheck check, long began) {
        int status = answer.statusCode();
        if (status == 429 || status == 503 || status == 408 || status == 421) {
            ledger.promisedNotRun(id);
            return End.NOT_RUN;
        }
        if (status / 100 == 4) {
            return End.REFUSED;
        }
        boolean signed = answer.headers()
                .firstValue("X-Response-Signature")
                .filter(signature -> signature.endsWith("." + id))
                .isPresent();
        if (status != 200 || !signed || wish.stream() && !check.complete()) {
            return End.UNKNOWN;
        }
        long told = wish.stream() ? check.firstNanos() : System.nanoTime();
        return told - began <= DemoConfiguration.AIM_MILLIS * 1_000_000 ? End.SERVED : End.SERVED_LATE;
    }
}
