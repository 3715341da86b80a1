package burlarch.controller.api;

import burlarch.node.error.ErrorKind;
import burlarch.node.error.FleetException;
import burlarch.node.http.BodyBudget;
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
    private static final int LONGEST_ID = 256;

    private final ControlService service;
    private final BodyBudget budget;
    private final long callMillis;
    private volatile boolean draining;

    ControlHandler(ControlService service, BodyBudget budget, long callMillis) {
        this.service = service;
        this.budget = budget;
        this.callMillis = callMillis;
    }

    /** From now on each connection ends with its next answer. */
    void drain() {
        draining = true;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        ControlCall call = new ControlCall(request, response, callback, draining);
        try {
            dispatch(request, call);
        } catch (RuntimeException failure) {
            call.fail(failure);
        }
        return true;
    }

    private void dispatch(Request request, ControlCall call) {
        String path = Request.getPathInContext(request);
        if (path.equals(CONFIGURATION)) {
            configuration(request, call);
        } else if (path.equals(WEIGHTS)) {
            weights(request, call);
        } else if (path.startsWith(INSTANCES)) {
            instance(request, call, path.substring(INSTANCES.length()));
        } else {
            throw new FleetException(ErrorKind.NOT_FOUND);
        }
    }

    private void configuration(Request request, ControlCall call) {
        switch (request.getMethod()) {
            case "GET" -> call.answerWith(service.readConfiguration(), callMillis);
            case "PUT" -> {
                long ifMatch = ifMatch(request);
                withBody(
                        request,
                        call,
                        BodyLimits.LONGEST_CONFIGURATION,
                        body -> service.putConfiguration(body, ifMatch));
            }
            case "PATCH" -> {
                long ifMatch = ifMatch(request);
                withBody(
                        request,
                        call,
                        BodyLimits.LONGEST_CONFIGURATION,
                        body -> service.patchConfiguration(body, ifMatch));
            }
            default -> throw new FleetException(ErrorKind.METHOD);
        }
    }

    private void weights(Request request, ControlCall call) {
        if (!request.getMethod().equals("POST")) {
            throw new FleetException(ErrorKind.METHOD);
        }
        withBody(request, call, BodyLimits.LONGEST_OTHER, body -> {
            JsonNode json = Json.object(body);
            return service.nameWeights(Json.text(json, "model"), Json.whole(json, "config_version"));
        });
    }

    private void instance(Request request, ControlCall call, String id) {
        if (id.isEmpty() || id.length() > LONGEST_ID || id.indexOf('/') >= 0) {
            throw new FleetException(ErrorKind.NOT_FOUND);
        }
        switch (request.getMethod()) {
            case "PUT" -> withBody(
                    request, call, BodyLimits.LONGEST_OTHER, body -> service.announce(Announcements.read(id, body)));
            case "DELETE" -> call.answerWith(service.leave(id), callMillis);
            default -> throw new FleetException(ErrorKind.METHOD);
        }
    }

    private void withBody(
            Request request, ControlCall call, int longest, Function<byte[], CompletableFuture<Void>> action) {
        BodyReader[] reader = new BodyReader[1];
        reader[0] = new BodyReader(
                request,
                longest,
                budget,
                body -> {
                    try {
                        CompletableFuture<Void> result = action.apply(body);
                        result.whenComplete((nothing, failure) -> reader[0].release());
                        call.answerWith(result, callMillis);
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
            throw new FleetException(ErrorKind.BAD_REQUEST, "If-Match", "must be a whole number");
        }
    }
}
