package cypressglade.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What becomes of the program when one of its threads dies. */
class ThreadDeathTest {
    private static final long END_SECONDS = 20;
    private static final int EXIT_CODE = 3;

    /** A log that cannot write, as where no class can be loaded any more. */
    private static final class FailingHandler extends Handler {
        @Override
        public void publish(LogRecord line) {
            throw new NoClassDefFoundError("no room to load it");
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }

    /** A program whose thread of the given name dies, and whose log cannot write. */
    static final class Program {
        private Program() {}

        public static void main(String[] arguments) throws InterruptedException {
            Thread.setDefaultUncaughtExceptionHandler(new ThreadDeath());
            Logger.getLogger("").addHandler(new FailingHandler());
            Thread thread =
                    new Thread(
                            () -> {
                                throw new IllegalStateException("it dies");
                            },
                            arguments[0]);
            thread.start();
            thread.join();
            TimeUnit.SECONDS.sleep(1);
        }
    }

    private static int exitCode(String thread) throws Exception {
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                Program.class.getName(),
                                thread)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start();
        assertThat(process.waitFor(END_SECONDS, TimeUnit.SECONDS)).isTrue();
        return process.exitValue();
    }

    /** Guards against a program without its I/O or engine thread, which answers nobody. */
    @ParameterizedTest
    @ValueSource(strings = {"io I/O-1", "engine"})
    void programEndsWithAThreadThatItNeedsThoughTheLogFails(String thread) throws Exception {
        assertThat(exitCode(thread)).isEqualTo(EXIT_CODE);
    }

    @Test
    void programOutlivesAThreadOfOneRequest() throws Exception {
        assertThat(exitCode("request")).isZero();
    }
}
