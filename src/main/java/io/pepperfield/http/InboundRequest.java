package io.pepperfield.http;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;

/** One request as the server received it. */
public record InboundRequest(
        String method, String path, Map<String, List<String>> query, byte[] body) {

    static InboundRequest of(String method, String uri, byte[] body) {
        QueryStringDecoder decoder = new QueryStringDecoder(uri);
        return new InboundRequest(method, decoder.path(), decoder.parameters(), body);
    }

    /** The first value of a query parameter, or {@code otherwise} where it is missing. */
    public String queryParameter(String name, String otherwise) {
        List<String> values = query.get(name);
        return values == null || values.isEmpty() ? otherwise : values.get(0);
    }
}
