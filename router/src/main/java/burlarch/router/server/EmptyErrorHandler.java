package burlarch.router.server;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/** Error handler that responds to a malformed request without a body and closes the connection. */
public final class EmptyErrorHandler implements Request.Handler {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        HttpFields.Mutable headers = response.getHeaders();
        headers.put(HttpHeader.CONNECTION, "close");
        headers.put(HttpHeader.CONTENT_LENGTH, 0);
        response.write(true, BufferUtil.EMPTY_BUFFER, callback);
        return true;
    }
}
