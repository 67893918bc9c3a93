package cypressglade.adapter;

/** Something on the wire that cannot be understood; the message says what and where. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    public WireException(String message) {
        super(message);
    }
}
