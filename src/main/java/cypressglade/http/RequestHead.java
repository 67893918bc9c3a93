package cypressglade.http;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The head of a client's request (RFC 9112, sections 3 and 5). Keeps only the fields that the
 * program uses, as a head may hold thousands of others.
 *
 * @param method the request method
 * @param path the path as the client wrote it
 * @param query what follows the question mark of the target; empty where there is none
 * @param minorVersion the minor version of HTTP/1
 * @param fields the values of the fields that are used, by lower-case name, in their order
 */
record RequestHead(
        String method,
        String path,
        String query,
        int minorVersion,
        Map<String, List<String>> fields) {
    static final String TRACE_ID = "x-trace-id";
    static final String IDEMPOTENCY_KEY = "idempotency-key";
    static final String TIER = "tier";
    static final String EXPIRES_IN_MS = "x-expires-in-ms";
    static final String IO_INFO = "io-info";
    static final String CLIENT_RETRY = "x-second-try";
    static final String TRANSFER_ENCODING = "transfer-encoding";
    static final String CONTENT_LENGTH = "content-length";
    private static final String CONNECTION = "connection";
    private static final String EXPECT = "expect";
    private static final String CHUNKED = "chunked";
    private static final Set<String> USED_FIELDS =
            Set.of(
                    TRACE_ID,
                    IDEMPOTENCY_KEY,
                    TIER,
                    EXPIRES_IN_MS,
                    IO_INFO,
                    CLIENT_RETRY,
                    TRANSFER_ENCODING,
                    CONTENT_LENGTH,
                    CONNECTION,
                    EXPECT);

    /** Whether a field of this lower-case name is kept. */
    static boolean isUsed(String name) {
        return USED_FIELDS.contains(name);
    }

    /** The target as it is passed on: the path, and the query where there is one. */
    String target() {
        return query.isEmpty() ? path : path + "?" + query;
    }

    /** How often a field is there. */
    int count(String name) {
        return fields.getOrDefault(name, List.of()).size();
    }

    /** The first value of a field; null where it is absent. */
    String first(String name) {
        return count(name) == 0 ? null : fields.get(name).get(0);
    }

    /** Whether the body comes in chunks. */
    boolean isChunked() {
        return count(TRANSFER_ENCODING) == 1 && CHUNKED.equalsIgnoreCase(first(TRANSFER_ENCODING));
    }

    /**
     * Whether the client reads a body in chunks, and keeps a connection unless it says otherwise.
     */
    boolean isHttp11() {
        return minorVersion > 0;
    }

    /** Whether the connection may carry another request after this one. */
    boolean isPersistent() {
        return isHttp11() && !hasToken(CONNECTION, "close");
    }

    /** Whether the client waits for an interim response before it sends the body. */
    boolean expectsContinue() {
        return isHttp11() && hasToken(EXPECT, "100-continue");
    }

    private boolean hasToken(String name, String token) {
        return fields.getOrDefault(name, List.of()).stream()
                .flatMap(value -> List.of(value.split(",")).stream())
                .anyMatch(part -> part.trim().toLowerCase(Locale.ROOT).equals(token));
    }
}
