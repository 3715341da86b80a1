package burlarch.lab.load;

import burlarch.audit.Rules;
import burlarch.standins.fleet.FleetPlan;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Encodes requests as HTTP/1.1; the parts that a class or a tenant shares are encoded once. */
final class RequestEncoder {
    /** The only class that the multi-get port accepts. */
    static final String MULTI_GET_CLASS = "account-read";

    private static final String REQUEST_LINE_END_AND_HOST = " HTTP/1.1\r\nHost: service.internal";
    /** Initial buffer size for a request head; the buffer grows for longer heads. */
    private static final int HEAD_BYTES = 384;

    private static final int MULTI_GET_HEAD_BYTES = 256;
    private static final int MULTI_GET_LINE_BYTES = 32;

    private final List<FleetPlan.RequestClass> classes;
    /** By class: the bytes between the key and the request id. */
    private final byte[][] classHeaders;

    private final byte[][] tenantHeaders;

    RequestEncoder(LoadPlan plan) {
        this.classes = plan.classes();
        this.classHeaders = classes.stream().map(RequestEncoder::classHeader).toArray(byte[][]::new);
        this.tenantHeaders =
                plan.tenants().stream().map(RequestEncoder::tenantHeader).toArray(byte[][]::new);
    }

    private static byte[] classHeader(FleetPlan.RequestClass kind) {
        return (REQUEST_LINE_END_AND_HOST + "\r\nX-Priority-Class: " + kind.name() + "\r\nX-Request-ID: ")
                .getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] tenantHeader(LoadPlan.Tenant tenant) {
        return ("\r\nX-Tenant-Id: " + tenant.name()).getBytes(StandardCharsets.US_ASCII);
    }

    ByteBuf single(ByteBufAllocator allocator, PlannedRequest planned) {
        ByteBuf buffer = allocator.directBuffer(HEAD_BYTES);
        FleetPlan.RequestClass kind = classes.get(planned.requestClass());
        writeAscii(buffer, planned.write() ? "PUT /" : "GET /");
        writeAscii(buffer, kind.name());
        buffer.writeByte('/');
        writeAscii(buffer, planned.key());
        buffer.writeBytes(classHeaders[planned.requestClass()]);
        writeAscii(buffer, planned.id());
        buffer.writeBytes(tenantHeaders[planned.tenant()]);
        writeHeader(buffer, "X-Timeout-Ms", planned.timeoutMs());
        if (planned.costMicros() > 0) {
            writeHeader(buffer, "X-Cost", planned.costMicros());
        }
        if (planned.write()) {
            if (kind.repeat().kind() == Rules.Repeat.Kind.TOKEN) {
                writeHeader(buffer, "Idempotency-Key", planned.id());
            }
            writeHeader(buffer, "Content-Length", planned.bodyBytes());
        }
        writeAscii(buffer, "\r\n\r\n");
        for (int i = 0; i < planned.bodyBytes(); i++) {
            buffer.writeByte('x');
        }
        return buffer;
    }

    /** Encodes a multi-get request as specified in docs/features.md. */
    ByteBuf multiGet(ByteBufAllocator allocator, MultiGet multiGet) {
        StringBuilder lines = new StringBuilder(multiGet.lines.size() * MULTI_GET_LINE_BYTES);
        for (PendingRequest line : multiGet.lines) {
            if (!line.completed) {
                lines.append(line.planned.id())
                        .append(' ')
                        .append(line.planned.key())
                        .append('\n');
            }
        }
        ByteBuf buffer = allocator.directBuffer(MULTI_GET_HEAD_BYTES + lines.length());
        writeAscii(buffer, "POST /multi/" + MULTI_GET_CLASS + REQUEST_LINE_END_AND_HOST);
        buffer.writeBytes(tenantHeaders[multiGet.tenant]);
        writeHeader(buffer, "X-Timeout-Ms", multiGet.lines.get(0).planned.timeoutMs());
        writeHeader(buffer, "Content-Length", lines.length());
        writeAscii(buffer, "\r\n\r\n");
        writeAscii(buffer, lines.toString());
        return buffer;
    }

    private static void writeHeader(ByteBuf buffer, String name, long value) {
        writeHeader(buffer, name, Long.toString(value));
    }

    private static void writeHeader(ByteBuf buffer, String name, String value) {
        writeAscii(buffer, "\r\n");
        writeAscii(buffer, name);
        writeAscii(buffer, ": ");
        writeAscii(buffer, value);
    }

    private static void writeAscii(ByteBuf buffer, String text) {
        for (int i = 0; i < text.length(); i++) {
            buffer.writeByte(text.charAt(i));
        }
    }
}
