package cypressglade.config;

/** A configuration that cannot be used; the message names the path and what is wrong there. */
public class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates one with a message that names the path and what is wrong there. */
    public ConfigException(String message) {
        super(message);
    }
}
