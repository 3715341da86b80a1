package burlarch.controller.api;

import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.node.http.RequestBodyBudget;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Finds out what a request to the control address asks for, and calls the service. */
final class ControlHandler extends Handler.Abstract.NonBlocking {
    private static final String CONFIGURATION = "/burlarch/config";
    private static final String WEIGHTS = "/burlarch/version-put";
    private static final String INSTANCES = "/burlarch/instances/";
    private static final int MAX_ID_LENGTH = 256;

    private final ControlService service;
    private final RequestBodyBudget budget;
    private final long callTimeoutMillis;
    private volatile boolean draining;

    ControlHandler(ControlService service, RequestBodyBudget budget, long callMillis) {
        this.service = service;
        this.budget = budget;
        this.callTimeoutMillis = callMillis;
    }

    /** From now on each connection ends with its next answer. */
    void drain() {
        draining = true;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        ControlExchange call = new ControlExchange(request, response, callback, draining);
        try {
            dispatch(request, call);
        } catch (RuntimeException failure) {
            call.fail(failure);
        }
        return true;
    }

    private void dispatch(Request request, ControlExchange call) {
        String path = Request.getPathInContext(request);
        if (path.equals(CONFIGURATION)) {
            configuration(request, call);
        } else if (path.equals(WEIGHTS)) {
            weights(request, call);
        } else if (path.startsWith(INSTANCES)) {
            instance(request, call, path.substring(INSTANCES.length()));
        } else {
            throw new ControlException(ErrorKind.NOT_FOUND);
        }
    }

    private void configuration(Request request, ControlExchange call) {
        switch (request.getMethod()) {
            case "GET" -> call.respondWith(service.readConfiguration(), callTimeoutMillis);
            case "PUT" -> {
                long ifMatch = ifMatch(request);
                withBody(
                        request,
                        call,
                        RequestBodyLimits.MAX_CONFIGURATION_BYTES,
                        body -> service.putConfiguration(body, ifMatch));
            }
            case "PATCH" -> {
                long ifMatch = ifMatch(request);
                withBody(
                        request,
                        call,
                        RequestBodyLimits.MAX_CONFIGURATION_BYTES,
                        body -> service.patchConfiguration(body, ifMatch));
            }
            default -> throw new ControlException(ErrorKind.METHOD);
        }
    }

    private void weights(Request request, ControlExchange call) {
        if (!request.getMethod().equals("POST")) {
            throw new ControlException(ErrorKind.METHOD);
        }
        withBody(request, call, RequestBodyLimits.MAX_OTHER_BYTES, body -> {
            JsonNode json = ControlJson.object(body);
            return service.nameWeights(
                    ControlJson.requiredText(json, "model"), ControlJson.wholeNumber(json, "config_version"));
        });
    }

    private void instance(Request request, ControlExchange call, String id) {
        if (id.isEmpty() || id.length() > MAX_ID_LENGTH || id.indexOf('/') >= 0) {
            throw new ControlException(ErrorKind.NOT_FOUND);
        }
        switch (request.getMethod()) {
            case "PUT" -> withBody(
                    request,
                    call,
                    RequestBodyLimits.MAX_OTHER_BYTES,
                    body -> service.announce(InstanceAnnouncementParser.read(id, body)));
            case "DELETE" -> call.respondWith(service.leave(id), callTimeoutMillis);
            default -> throw new ControlException(ErrorKind.METHOD);
        }
    }

    private void withBody(
            Request request, ControlExchange call, int longest, Function<byte[], CompletableFuture<Void>> action) {
        RequestBodyReader[] reader = new RequestBodyReader[1];
        reader[0] = new RequestBodyReader(
                request,
                longest,
                budget,
                body -> {
                    try {
                        CompletableFuture<Void> result = action.apply(body);
                        result.whenComplete((nothing, failure) -> reader[0].release());
                        call.respondWith(result, callTimeoutMillis);
                    } catch (RuntimeException failure) {
                        reader[0].release();
                        call.fail(failure);
                    }
                },
                failure -> {
                    reader[0].release();
                    call.fail(failure);
                });
        reader[0].run();
    }

    /** The version that a change builds on, with quotes or without; 0 where none is told. */
    private static long ifMatch(Request request) {
        String text = request.getHeaders().get(HttpHeader.IF_MATCH);
        if (text == null || text.isBlank()) {
            return 0;
        }
        try {
            return Long.parseLong(text.replace("\"", "").trim());
        } catch (NumberFormatException notNumber) {
            throw new ControlException(ErrorKind.BAD_REQUEST, "If-Match", "must be a whole number");
        }
    }
}
