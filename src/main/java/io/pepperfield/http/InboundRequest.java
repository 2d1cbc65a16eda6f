package io.pepperfield.http;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;

/** A request received by the server. */
public record InboundRequest(
        String method, String path, Map<String, List<String>> query, byte[] body) {

    static InboundRequest of(String method, String uri, byte[] body) {
        QueryStringDecoder decoder = new QueryStringDecoder(uri);
        return new InboundRequest(method, decoder.path(), decoder.parameters(), body);
    }

    /** Returns the first value of a query parameter, or {@code defaultValue} if it is missing. */
    public String queryParameter(String name, String defaultValue) {
        List<String> values = query.get(name);
        return values == null || values.isEmpty() ? defaultValue : values.get(0);
    }
}
