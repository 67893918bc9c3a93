package cypressglade.config;

import cypressglade.control.ControlConfig;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Reads {@code deploy/console.json}: nothing where the file is not there or says that the socket is
 * off.
 */
public final class ControlConfigParser {
    private ControlConfigParser() {}

    /** The directory in it is taken from the file's own directory. */
    public static Optional<ControlConfig> read(Path path) throws ConfigException {
        Optional<Values> values = Values.ifEnabled(path);
        if (values.isEmpty()) {
            return Optional.empty();
        }
        Path directory = path.toAbsolutePath().getParent().resolve(values.get().text("directory"));
        if (!Files.isDirectory(directory) || !Files.isWritable(directory)) {
            throw values.get()
                    .bad(
                            "directory",
                            "is no directory that this program may write to; make it "
                                    + "with: mkdir -p -m 700 "
                                    + directory);
        }
        return Optional.of(new ControlConfig(directory));
    }
}
