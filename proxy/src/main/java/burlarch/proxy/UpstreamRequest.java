package burlarch.proxy;

import io.netty.handler.codec.http.HttpMethod;

/** The part of a client's request that is forwarded unchanged; {@code idempotencyKey} is null if it had none. */
public record UpstreamRequest(HttpMethod method, String uri, String requestId, String idempotencyKey, byte[] body) {}
