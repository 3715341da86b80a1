package burlarch.router;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/** Answers what is no proper request with its status alone, as the last answer of the connection. */
final class EmptyErrorHandler implements Request.Handler {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        HttpFields.Mutable headers = response.getHeaders();
        headers.put(HttpHeader.CONNECTION, "close");
        headers.put(HttpHeader.CONTENT_LENGTH, 0);
        response.write(true, BufferUtil.EMPTY_BUFFER, callback);
        return true;
    }
}
