package cypressglade.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A process whose heap is full ends, whoever catches the error. */
class OutOfMemoryIT {
    private static final long END_SECONDS = 20;
    private static final int EXIT_CODE = 3;
    private static final String SHIM =
            """
            #!/bin/sh
            flags=
            for argument in "$@"; do
              [ "$argument" != -jar ] || break
              flags="$flags $argument"
            done
            exec %s $flags -cp target/test-classes %s
            """;

    @TempDir Path folder;

    /** Fills the heap of its process on a thread that catches the error, and stays. */
    static final class HeapFiller {
        private HeapFiller() {}

        public static void main(String[] arguments) throws InterruptedException {
            List<byte[]> held = new ArrayList<>();
            try {
                while (true) {
                    held.add(new byte[1 << 16]);
                }
            } catch (OutOfMemoryError caught) {
                held.clear();
            }
            TimeUnit.SECONDS.sleep(2 * END_SECONDS);
        }
    }

    /** Guards against a process that lives on with its heap full, and answers nobody. */
    @Test
    void processThatRunsOutOfHeapEndsWithACode() throws Exception {
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        Path shim = Files.createDirectory(folder.resolve("bin")).resolve("java");
        Files.writeString(shim, SHIM.formatted(java, "'" + HeapFiller.class.getName() + "'"));
        Files.setPosixFilePermissions(shim, PosixFilePermissions.fromString("rwxr-xr-x"));
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "deploy/run.sh").redirectErrorStream(true);
        builder.environment().put("PATH", shim.getParent().toString());
        Process process = builder.start();
        try {
            assertThat(process.waitFor(END_SECONDS, TimeUnit.SECONDS)).as("it ends").isTrue();
            assertThat(process.exitValue()).isEqualTo(EXIT_CODE);
            assertThat(new String(process.getInputStream().readAllBytes()))
                    .contains("java.lang.OutOfMemoryError");
        } finally {
            process.destroyForcibly();
        }
    }
}
