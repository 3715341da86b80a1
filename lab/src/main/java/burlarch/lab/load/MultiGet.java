package burlarch.lab.load;

import burlarch.lab.load.LoadStatistics.Outcome;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Several reads of one tenant sent as one request to the multi-get port. Each read is a line with its own result. */
final class MultiGet extends Exchange {
    private static final int OK = 200;

    final int tenant;
    final List<PendingRequest> lines = new ArrayList<>();

    MultiGet(ConnectionPool pool, int tenant) {
        super(pool);
        this.tenant = tenant;
    }

    void add(PendingRequest line) {
        lines.add(line);
        line.multiGet = this;
    }

    @Override
    boolean isComplete() {
        return lines.stream().allMatch(line -> line.completed);
    }

    @Override
    boolean needsBody() {
        return true;
    }

    @Override
    ByteBuf encode(RequestEncoder encoder, ByteBufAllocator allocator) {
        return encoder.multiGet(allocator, this);
    }

    @Override
    void onSent(long nowNanos) {
        super.onSent(nowNanos);
        lines.forEach(line -> line.onSent(nowNanos));
    }

    @Override
    void onResponse(ResponseParser parser) {
        if (parser.status != OK) {
            RequestResult result = RequestResult.ofResponse(parser.status, 0, parser.retryAfterS);
            List.copyOf(lines).forEach(line -> line.complete(result));
            return;
        }
        Map<String, MultiGetResponse.Line> responses = MultiGetResponse.read(parser.body());
        for (PendingRequest line : List.copyOf(lines)) {
            line.complete(lineResult(responses.get(line.planned.id()), parser.retryAfterS));
        }
    }

    private static RequestResult lineResult(MultiGetResponse.Line response, double retryAfterS) {
        return response == null
                ? new RequestResult(Outcome.LOST, 0, 0, retryAfterS)
                : RequestResult.ofResponse(response.status(), response.bodyDigest(), retryAfterS);
    }

    /** Not recorded: records describe single requests, and it is unknown which line the extra response belongs to. */
    @Override
    void onExtraResponse() {}

    @Override
    void fail(Outcome outcome) {
        List.copyOf(lines).forEach(line -> line.fail(outcome));
    }
}
