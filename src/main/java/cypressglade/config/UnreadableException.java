package cypressglade.config;

/** A configuration file that the machine did not give; it may a moment later. */
public final class UnreadableException extends ConfigException {
    private static final long serialVersionUID = 1L;

    public UnreadableException(String message) {
        super(message);
    }
}
