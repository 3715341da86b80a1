package burlarch.router.upstream;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/**
 * Listener for the response to one call. The methods are called one after another, on the thread that reads, the last
 * one possibly on the thread that writes; the last call is exactly one of {@link #onComplete} and {@link #onFailure}.
 */
public interface UpstreamListener {
    /**
     * Called with the head of a final response.
     *
     * @param contentLength length of the body in bytes; -1 if the head does not state it
     */
    void onHead(int status, HttpFields fields, long contentLength);

    /** Called with bytes of the body. They are valid, and no more are read, until {@link UpstreamCall#proceed}. */
    void onContent(ByteBuffer content);

    /** Called when the response is complete. */
    void onComplete();

    /**
     * Called when the response cannot be completed.
     *
     * @param sent how much of the request may have been sent
     */
    void onFailure(SendState sent, Throwable cause);
}
