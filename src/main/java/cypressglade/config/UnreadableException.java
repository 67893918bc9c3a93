package cypressglade.config;

/** A configuration file that could not be read, for a reason that may pass. */
public final class UnreadableException extends ConfigException {
    private static final long serialVersionUID = 1L;

    /** Creates one with a message that names the file and the error. */
    public UnreadableException(String message) {
        super(message);
    }
}
