package burlarch.controller.api;

import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.node.http.RequestMemoryBudget;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;

/**
 * Request handler of the control API: maps each request to a call of the {@link ControlService}. Runs on Jetty's
 * threads and never blocks.
 */
final class ControlHandler extends ControlCallHandler {
    private static final String CONFIGURATION_PATH = "/burlarch/config";
    private static final String WEIGHTS_PATH = "/burlarch/version-put";
    private static final String INSTANCES_PREFIX = "/burlarch/instances/";
    private static final int MAX_ID_LENGTH = 256;
    /** Base version of the first configuration. */
    private static final long NO_VERSION = 0;

    private final ControlService service;
    private final RequestMemoryBudget budget;
    private final long callTimeoutMillis;

    ControlHandler(ControlService service, RequestMemoryBudget budget, long callTimeoutMillis) {
        this.service = service;
        this.budget = budget;
        this.callTimeoutMillis = callTimeoutMillis;
    }

    @Override
    void dispatch(Request request, ControlExchange exchange) {
        String path = Request.getPathInContext(request);
        if (path.equals(CONFIGURATION_PATH)) {
            handleConfiguration(request, exchange);
        } else if (path.equals(WEIGHTS_PATH)) {
            handleWeights(request, exchange);
        } else if (path.startsWith(INSTANCES_PREFIX)) {
            handleInstance(request, exchange, path.substring(INSTANCES_PREFIX.length()));
        } else {
            throw new ControlException(ErrorKind.NOT_FOUND);
        }
    }

    private void handleConfiguration(Request request, ControlExchange exchange) {
        switch (request.getMethod()) {
            case "GET" -> exchange.respondWith(service.readConfiguration(), callTimeoutMillis);
            case "PUT" -> {
                long ifMatch = parseIfMatch(request);
                new BodyCall(exchange, body -> service.putConfiguration(body, ifMatch))
                        .start(request, RequestBodyLimits.MAX_CONFIGURATION_BYTES);
            }
            case "PATCH" -> {
                long ifMatch = parseIfMatch(request);
                new BodyCall(exchange, body -> service.patchConfiguration(body, ifMatch))
                        .start(request, RequestBodyLimits.MAX_CONFIGURATION_BYTES);
            }
            default -> throw new ControlException(ErrorKind.METHOD);
        }
    }

    private void handleWeights(Request request, ControlExchange exchange) {
        if (!request.getMethod().equals("POST")) {
            throw new ControlException(ErrorKind.METHOD);
        }
        new BodyCall(exchange, this::setWeightsVersion).start(request, RequestBodyLimits.MAX_OTHER_BYTES);
    }

    private CompletableFuture<Void> setWeightsVersion(byte[] body) {
        JsonNode json = ControlJson.object(body);
        return service.setWeightsVersion(
                ControlJson.requiredText(json, "model"), ControlJson.wholeNumber(json, "config_version"));
    }

    private void handleInstance(Request request, ControlExchange exchange, String id) {
        if (id.isEmpty() || id.length() > MAX_ID_LENGTH || id.indexOf('/') >= 0) {
            throw new ControlException(ErrorKind.NOT_FOUND);
        }
        switch (request.getMethod()) {
            case "PUT" -> new BodyCall(exchange, body -> service.announce(InstanceAnnouncementParser.parse(id, body)))
                    .start(request, RequestBodyLimits.MAX_OTHER_BYTES);
            case "DELETE" -> exchange.respondWith(service.leave(id), callTimeoutMillis);
            default -> throw new ControlException(ErrorKind.METHOD);
        }
    }

    /** Parses the If-Match header, the base version of a change, with or without quotes; 0 if it is absent. */
    private static long parseIfMatch(Request request) {
        String text = request.getHeaders().get(HttpHeader.IF_MATCH);
        if (text == null || text.isBlank()) {
            return NO_VERSION;
        }
        try {
            return Long.parseLong(text.replace("\"", "").trim());
        } catch (NumberFormatException notANumber) {
            throw new ControlException(ErrorKind.BAD_REQUEST, "If-Match", "must be a whole number");
        }
    }

    /**
     * A call with a request body: reads the body, then calls the service. The body's bytes stay reserved until the call
     * has completed.
     */
    private final class BodyCall implements RequestBodyReader.Listener {
        private final ControlExchange exchange;
        private final Function<byte[], CompletableFuture<Void>> call;
        private RequestBodyReader reader;

        BodyCall(ControlExchange exchange, Function<byte[], CompletableFuture<Void>> call) {
            this.exchange = exchange;
            this.call = call;
        }

        void start(Request request, int maxBytes) {
            reader = new RequestBodyReader(request, maxBytes, budget, this);
            reader.run();
        }

        @Override
        public void onBody(byte[] body) {
            try {
                CompletableFuture<Void> result = call.apply(body);
                result.whenComplete((nothing, failure) -> reader.release());
                exchange.respondWith(result, callTimeoutMillis);
            } catch (RuntimeException failure) {
                reader.release();
                exchange.fail(failure);
            }
        }

        @Override
        public void onFailure(ControlException failure) {
            reader.release();
            exchange.fail(failure);
        }
    }
}
