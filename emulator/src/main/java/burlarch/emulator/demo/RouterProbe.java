package burlarch.emulator.demo;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** Probes the routers from outside: readiness, and which configuration they have in force. */
final class RouterProbe {
    private static final Duration PROBE = Duration.ofSeconds(1);

    private final HttpClient http;
    private final List<String> ips;

    RouterProbe(HttpClient http, List<String> ips) {
        this.http = http;
        this.ips = ips;
    }

    /** The address of a random router, for a client to connect to. */
    String any() {
        return ips.get(ThreadLocalRandom.current().nextInt(ips.size())) + ":" + LoopbackNetwork.FRONT;
    }

    /** Whether every router reports that it is ready. */
    boolean allReady() throws InterruptedException {
        for (String ip : ips) {
            if (status(ip + ":" + LoopbackNetwork.READINESS, "/burlarch/readyz") != 200) {
                return false;
            }
        }
        return true;
    }

    /** The newest of the candidate versions that each router has in force, 0 for none, by its version route. */
    Map<String, Long> versions(List<Long> candidates) throws InterruptedException {
        Map<String, Long> found = new LinkedHashMap<>();
        for (String ip : ips) {
            long newest = 0;
            for (long version : candidates) {
                String path = DemoConfiguration.versionPath(version);
                if (status(ip + ":" + LoopbackNetwork.FRONT, path) == 200) {
                    newest = Math.max(newest, version);
                }
            }
            found.put("router " + ip, newest);
        }
        return found;
    }

    private int status(String address, String path) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(PROBE)
                .header("Host", DemoConfiguration.HOST)
                .header("X-Request-Deadline", "1000")
                .header(
                        "X-Request-Id",
                        Long.toHexString(ThreadLocalRandom.current().nextLong()))
                .build();
        try {
            return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException noResponse) {
            return 0;
        }
    }
}
