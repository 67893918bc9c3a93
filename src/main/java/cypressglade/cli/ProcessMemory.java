package cypressglade.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the kernel counts of this process's memory. */
final class ProcessMemory {
    private static final Path STATUS = Path.of("/proc/self/status");
    private static final String PEAK = "VmHWM:";

    private ProcessMemory() {}

    /** The line {@code peak_resident_kb N}, ended; empty where the kernel does not tell. */
    static String peak() {
        try {
            return Files.readAllLines(STATUS).stream()
                    .filter(line -> line.startsWith(PEAK))
                    .findFirst()
                    .map(line -> "peak_resident_kb " + line.replaceAll("[^0-9]", "") + "\n")
                    .orElse("");
        } catch (IOException unknown) {
            return "";
        }
    }
}
