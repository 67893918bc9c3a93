package cypressglade.http;

/** The statuses of responses to clients (RFC 9110, section 15). */
enum HttpStatus {
    OK(200, "OK"),
    BAD_REQUEST(400, "Bad Request"),
    NOT_FOUND(404, "Not Found"),
    METHOD_NOT_ALLOWED(405, "Method Not Allowed"),
    REQUEST_TIMEOUT(408, "Request Timeout"),
    CONFLICT(409, "Conflict"),
    CONTENT_TOO_LARGE(413, "Content Too Large"),
    HEAD_TOO_LARGE(431, "Request Header Fields Too Large"),
    BAD_GATEWAY(502, "Bad Gateway"),
    SERVICE_UNAVAILABLE(503, "Service Unavailable"),
    VERSION_NOT_SUPPORTED(505, "HTTP Version Not Supported");

    private final int code;
    private final String reason;

    HttpStatus(int code, String reason) {
        this.code = code;
        this.reason = reason;
    }

    /** The status line, with its end. */
    String line() {
        return "HTTP/1.1 " + code + " " + reason + "\r\n";
    }
}
