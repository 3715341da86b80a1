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

/** Probe of the routers from outside: their readiness, and the configuration that they have in force. */
final class RouterProbe {
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

    private final HttpClient http;
    private final List<String> ips;

    RouterProbe(HttpClient http, List<String> ips) {
        this.http = http;
        this.ips = ips;
    }

    /** Returns the address at which a random router accepts clients. */
    String randomAddress() {
        return ips.get(ThreadLocalRandom.current().nextInt(ips.size())) + ":" + LoopbackNetwork.FRONT_PORT;
    }

    /** Returns whether every router reports that it is ready. */
    boolean allReady() throws InterruptedException {
        for (String ip : ips) {
            if (probeStatus(ip + ":" + LoopbackNetwork.READINESS_PORT, "/burlarch/readyz") != 200) {
                return false;
            }
        }
        return true;
    }

    /** Returns by router the newest of the versions whose version route it serves, 0 if none. */
    Map<String, Long> versions(List<Long> candidates) throws InterruptedException {
        Map<String, Long> versionByRouter = new LinkedHashMap<>();
        for (String ip : ips) {
            long newest = 0;
            for (long version : candidates) {
                String path = DemoConfiguration.versionPath(version);
                if (probeStatus(ip + ":" + LoopbackNetwork.FRONT_PORT, path) == 200) {
                    newest = Math.max(newest, version);
                }
            }
            versionByRouter.put("router " + ip, newest);
        }
        return versionByRouter;
    }

    private int probeStatus(String address, String path) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(PROBE_TIMEOUT)
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
