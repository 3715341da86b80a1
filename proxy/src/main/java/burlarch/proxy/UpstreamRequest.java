package burlarch.proxy;

import io.netty.handler.codec.http.HttpMethod;

/** The part of a client's request that goes on unchanged; {@code idempotencyKey} is null where none came. */
public record UpstreamRequest(HttpMethod method, String uri, String requestId, String idempotencyKey, byte[] body) {}
