package burlarch.router;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/** Takes one answer. Calls come one after another; exactly one of the last two ends them. */
interface UpstreamListener {
    /** The head of a final answer. {@code length} of the body, -1 where it comes in chunks. */
    void onHead(int status, HttpFields fields, long length);

    /** Bytes of the body, valid until {@link UpstreamCall#proceed} is called; none come before that. */
    void onContent(ByteBuffer content);

    /** The whole answer has come. */
    void onComplete();

    /** No whole answer comes any more. {@code sent} tells how much of the request may be out. */
    void onFailure(SendState sent, Throwable cause);
}
