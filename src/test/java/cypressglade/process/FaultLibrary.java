package cypressglade.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The library of {@code src/test/c/faults.c}, built with the machine's C compiler, and the
 * directory whose files turn its faults on.
 */
final class FaultLibrary {
    private static final Path SOURCE = Path.of("src/test/c/faults.c");
    private static final String SENT = "sent";
    private static final Path BUILT = Path.of("target/faults.so").toAbsolutePath();

    private final Path directory;

    /** Faults that are switched by files in a directory. */
    FaultLibrary(Path directory) throws IOException, InterruptedException {
        this.directory = directory;
        build();
    }

    private static synchronized void build() throws IOException, InterruptedException {
        if (Files.exists(BUILT)
                && Files.getLastModifiedTime(BUILT).compareTo(Files.getLastModifiedTime(SOURCE))
                        > 0) {
            return;
        }
        Process compiler =
                new ProcessBuilder(
                                "cc",
                                "-shared",
                                "-fPIC",
                                "-O1",
                                "-Wall",
                                "-Werror",
                                "-o",
                                BUILT.toString(),
                                SOURCE.toString(),
                                "-ldl")
                        .redirectErrorStream(true)
                        .start();
        String said = new String(compiler.getInputStream().readAllBytes());
        assertThat(compiler.waitFor(60, TimeUnit.SECONDS) && compiler.exitValue() == 0)
                .as(said)
                .isTrue();
    }

    Path library() {
        return BUILT;
    }

    Path directory() {
        return directory;
    }

    void on(String fault) throws IOException {
        Files.writeString(directory.resolve(fault), "");
    }

    void off(String fault) throws IOException {
        Files.deleteIfExists(directory.resolve(fault));
    }

    /** Has the requests that a process writes noted from now on, for {@link #sent}. */
    void noteSent() throws IOException {
        on(SENT);
    }

    /** The requests that processes have written, in the order of their writes. */
    List<Sent> sent() throws IOException {
        return Files.readAllLines(directory.resolve(SENT)).stream().map(Sent::parse).toList();
    }

    /**
     * A request as it was written to a node.
     *
     * @param nanos when the write began, by {@link System#nanoTime}
     */
    record Sent(String id, long nanos) {
        private static Sent parse(String line) {
            int space = line.indexOf(' ');
            return new Sent(line.substring(0, space), Long.parseLong(line.substring(space + 1)));
        }
    }
}
