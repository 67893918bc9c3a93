package cypressglade.http;

/**
 * Thrown for a request that is not forwarded, with the status to answer with; its message is the
 * body of the response.
 */
final class RejectedRequestException extends Exception {
    private static final long serialVersionUID = 1L;
    private final HttpStatus status;

    RejectedRequestException(HttpStatus status, String why) {
        super(why, null, false, false); // without a stack trace: clients cause thousands of them
        this.status = status;
    }

    HttpStatus status() {
        return status;
    }
}
