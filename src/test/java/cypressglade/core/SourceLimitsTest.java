package cypressglade.core;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Limits on the size of source files, so that each stays readable. */
class SourceLimitsTest {
    private static final int MAX_LINES = 1030;
    private static final int MAX_LINE_LENGTH = 110;
    private static final Path POLICY =
            Path.of("src/main/java/cypressglade/core/SchedulingPolicy.java");

    /** Decisions may be made in several modules; one that is too large to read is to be split. */
    @Test
    void noSourceFileIsTooLong() throws IOException {
        try (var files = Files.walk(Path.of("src/main"))) {
            for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
                int lines = Files.readAllLines(file).size();
                assertTrue(lines > 0 && lines <= MAX_LINES, file + ": " + lines + " lines");
            }
        }
    }

    @Test
    void noSourceLineIsTooLong() throws IOException {
        try (var files = Files.walk(Path.of("src/main"))) {
            for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
                for (String line : Files.readAllLines(file)) {
                    assertTrue(line.length() <= MAX_LINE_LENGTH, file + ": " + line);
                }
            }
        }
    }

    @Test
    void headerNamesTheInterfaceFile() throws IOException {
        String text = Files.readString(POLICY);
        assertTrue(
                text.substring(0, text.indexOf("class SchedulingPolicy"))
                        .contains("Scheduler.java"));
    }
}
