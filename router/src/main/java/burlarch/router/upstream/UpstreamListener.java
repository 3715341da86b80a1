package burlarch.router.upstream;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/**
 * Receives the response to one call. The methods are called one after another, on whatever thread reads;
 * exactly one of {@link #onComplete} and {@link #onFailure} comes last.
 */
public interface UpstreamListener {
    /**
     * The head of a final response.
     *
     * @param contentLength of the body in bytes; -1 if the head does not state it
     */
    void onHead(int status, HttpFields fields, long contentLength);

    /** Bytes of the body, valid until {@link UpstreamCall#proceed} is called; none follow before that. */
    void onContent(ByteBuffer content);

    /** The response is complete. */
    void onComplete();

    /**
     * No complete response will come.
     *
     * @param sent how much of the request may be on the wire
     */
    void onFailure(SendState sent, Throwable cause);
}
