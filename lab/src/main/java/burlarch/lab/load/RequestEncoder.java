package burlarch.lab.load;

import burlarch.audit.Rules;
import burlarch.standins.fleet.FleetPlan;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Writes requests as the bytes of HTTP/1.1; the parts that a class or a tenant shares are made once. */
final class RequestEncoder {
    /** The one class that the multi-get port takes. */
    static final String MULTI_GET_CLASS = "account-read";

    private static final String HOST = " HTTP/1.1\r\nHost: service.internal";
    /** Room for a request's head, in bytes; the buffer grows where a head is longer. */
    private static final int HEAD_BYTES = 384;

    private static final int MULTI_GET_HEAD_BYTES = 256;
    private static final int MULTI_GET_LINE_BYTES = 32;

    private final List<FleetPlan.RequestKind> classes;
    /** By class: from behind the key up to the request's id. */
    private final byte[][] classHeaders;

    private final byte[][] tenantHeaders;

    RequestEncoder(LoadPlan plan) {
        this.classes = plan.classes();
        this.classHeaders = classes.stream().map(RequestEncoder::classHeader).toArray(byte[][]::new);
        this.tenantHeaders =
                plan.tenants().stream().map(RequestEncoder::tenantHeader).toArray(byte[][]::new);
    }

    private static byte[] classHeader(FleetPlan.RequestKind kind) {
        return (HOST + "\r\nX-Priority-Class: " + kind.name() + "\r\nX-Request-ID: ")
                .getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] tenantHeader(LoadPlan.Tenant tenant) {
        return ("\r\nX-Tenant-Id: " + tenant.name()).getBytes(StandardCharsets.US_ASCII);
    }

    ByteBuf single(ByteBufAllocator allocator, PlannedRequest planned) {
        ByteBuf out = allocator.directBuffer(HEAD_BYTES);
        FleetPlan.RequestKind kind = classes.get(planned.requestClass());
        ascii(out, planned.write() ? "PUT /" : "GET /");
        ascii(out, kind.name());
        out.writeByte('/');
        ascii(out, planned.key());
        out.writeBytes(classHeaders[planned.requestClass()]);
        ascii(out, planned.id());
        out.writeBytes(tenantHeaders[planned.tenant()]);
        header(out, "X-Timeout-Ms", planned.timeoutMs());
        if (planned.costMicros() > 0) {
            header(out, "X-Cost", planned.costMicros());
        }
        if (planned.write()) {
            if (kind.repeat().kind() == Rules.Repeat.Kind.TOKEN) {
                header(out, "Idempotency-Key", planned.id());
            }
            header(out, "Content-Length", planned.bodyBytes());
        }
        ascii(out, "\r\n\r\n");
        for (int i = 0; i < planned.bodyBytes(); i++) {
            out.writeByte('x');
        }
        return out;
    }

    /** As docs/features.md has the multi-get port. */
    ByteBuf multiGet(ByteBufAllocator allocator, MultiGet multiGet) {
        StringBuilder lines = new StringBuilder(multiGet.lines.size() * MULTI_GET_LINE_BYTES);
        for (PendingRequest line : multiGet.lines) {
            if (!line.over) {
                lines.append(line.planned.id())
                        .append(' ')
                        .append(line.planned.key())
                        .append('\n');
            }
        }
        ByteBuf out = allocator.directBuffer(MULTI_GET_HEAD_BYTES + lines.length());
        ascii(out, "POST /multi/" + MULTI_GET_CLASS + HOST);
        out.writeBytes(tenantHeaders[multiGet.tenant]);
        header(out, "X-Timeout-Ms", multiGet.lines.get(0).planned.timeoutMs());
        header(out, "Content-Length", lines.length());
        ascii(out, "\r\n\r\n");
        ascii(out, lines.toString());
        return out;
    }

    private static void header(ByteBuf out, String name, long value) {
        header(out, name, Long.toString(value));
    }

    private static void header(ByteBuf out, String name, String value) {
        ascii(out, "\r\n");
        ascii(out, name);
        ascii(out, ": ");
        ascii(out, value);
    }

    private static void ascii(ByteBuf out, String text) {
        for (int i = 0; i < text.length(); i++) {
            out.writeByte(text.charAt(i));
        }
    }
}
