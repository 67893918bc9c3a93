package cypressglade.adapter;

/** A frame that cannot be decoded or applied; the message says what is wrong and where. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * @param message what is wrong, and at which byte or record where that is known
     */
    public WireException(String message) {
        super(message);
    }
}
