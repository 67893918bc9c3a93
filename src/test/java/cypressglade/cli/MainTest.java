package cypressglade.cli;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.standin.HttpPeer;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The command line. */
class MainTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private int run(String line) {
        return Main.run(
                line.isEmpty() ? new String[0] : line.split(" "),
                InputStream.nullInputStream(),
                new PrintStream(out),
                new PrintStream(errors));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            '' | no command
            fly | fly
            serve --what | --what
            check-config --config no/such.json | no/such.json
            serve --config no/such.json | no/such.json
            check-config --config pom.xml | pom.xml
            lab | --script
            lab --script no.txt | no.txt: no such file
            lab --script pom.xml | pom.xml:1:
            lab --script pom.xml --members 17 | --members 17 is not from 2 to 16
            lab --script pom.xml --period-ms 5 | --period-ms 5 is not from 100
            """)
    void wrongUseExitsWithTwoAndSaysWhy(String line, String why) {
        assertThat(run(line)).isEqualTo(2);
        assertThat(errors.toString()).startsWith("cypressglade: ").contains(why);
    }

    /** Made of the commands as they are, so that it cannot lag behind; bash itself reads it. */
    @Test
    void completionNamesEveryCommandAndBashTakesIt() throws Exception {
        assertThat(run("completion")).isZero();
        assertThat(out.toString())
                .contains(
                        "console",
                        "undrain) words=",
                        "--follow",
                        "--json",
                        "new-key",
                        "check-config");
        Process bash =
                new ProcessBuilder(
                                "bash",
                                "-c",
                                out
                                        + "COMP_WORDS=(cypressglade events --f); COMP_CWORD=2; "
                                        + "_cypressglade; echo \"${COMPREPLY[@]}\"")
                        .redirectErrorStream(true)
                        .start();
        assertThat(new String(bash.getInputStream().readAllBytes()).trim()).isEqualTo("--follow");
    }

    /**
     * Guards against a stop that comes before the hook is there, and against the signal's own exit
     * code.
     */
    @Test
    void sigtermRightAfterTheStartEndsWithZeroAndTheCounters() throws Exception {
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                Main.class.getName(),
                                "serve",
                                "--config",
                                "deploy/config.example.json")
                        .redirectError(ProcessBuilder.Redirect.DISCARD)
                        .start();
        try (var lines = process.inputReader()) {
            assertThat(lines.readLine()).startsWith("listening on ");
            process.toHandle().destroy(); // unlike the process, leaves its output open
            // neither this nor a second signal to stop calls the stop off, or cuts it short
            hangUp(process);
            process.toHandle().destroy();
            assertThat(lines.lines()).contains("taken 0", "answered_served 0");
            assertThat(process.waitFor()).isZero();
        } finally {
            process.destroyForcibly();
        }
    }

    /**
     * Guards against SIGHUP ending the program, and against a broken file taking the place of a
     * good one.
     */
    @Test
    void hangUpTakesTheNewDiscoveryAndKeepsTheOldFileWhereTheNewOneIsBroken() throws Exception {
        HttpPeer.Script silent = (request, out) -> {};
        Path file = Files.createTempFile("config", ".json");
        try (HttpPeer one = new HttpPeer(silent);
                HttpPeer two = new HttpPeer(silent)) {
            String text = Files.readString(Path.of("deploy/config.example.json"));
            Files.writeString(file, text.replace("127.0.0.1:8500", one.hostPort()));
            Process process =
                    new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    Main.class.getName(),
                                    "serve",
                                    "--config",
                                    file.toString())
                            .redirectErrorStream(true)
                            .start();
            try (var lines = process.inputReader()) {
                assertThat(one.requests.poll(20, TimeUnit.SECONDS).first()).contains("index=41");
                for (String broken : List.of("{", text.replace("\"coldFrom\":0.29,", ""))) {
                    Files.writeString(file, broken);
                    hangUp(process);
                    boolean told =
                            lines.lines()
                                    .anyMatch(line -> line.contains("the old configuration stays"));
                    assertThat(told).isTrue();
                }
                Files.writeString(file, text.replace("127.0.0.1:8500", two.hostPort()));
                hangUp(process);
                assertThat(two.requests.poll(20, TimeUnit.SECONDS).first()).contains("index=0");
                process.toHandle().destroy();
                assertThat(lines.lines()).contains("reloads 1", "reloads_rejected 2");
                assertThat(process.waitFor()).isZero();
            } finally {
                process.destroyForcibly();
            }
        } finally {
            Files.delete(file);
        }
    }

    /**
     * Guards against reloads that are lost without a word: a JVM leaves a signal alone that its
     * starter ignored.
     */
    @Test
    void aStartWithTheSignalIgnoredSaysThatNothingWillBeReloaded() throws Exception {
        Process process =
                new ProcessBuilder(
                                "/bin/sh",
                                "-c",
                                "trap '' HUP; exec \"$0\" \"$@\"",
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                Main.class.getName(),
                                "serve",
                                "--config",
                                "deploy/config.example.json")
                        .redirectErrorStream(true)
                        .start();
        try (var lines = process.inputReader()) {
            assertThat(
                            lines.lines()
                                    .takeWhile(line -> !line.startsWith("listening on "))
                                    .anyMatch(line -> line.contains("SIGHUP is ignored")))
                    .isTrue();
        } finally {
            process.destroyForcibly();
        }
    }

    private static void hangUp(Process process) throws Exception {
        assertThat(
                        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                                .start()
                                .waitFor())
                .isZero();
    }

    @Test
    void configurationIsCheckedToTheStartOfEveryPart() {
        assertThat(run("check-config --start --config deploy/config.example.json")).isZero();
        assertThat(out.toString()).contains("n1: usable", "200 OK", "503", "rehearsed: 8 requests");
    }

    @Test
    void versionAndAnEmptyAdapterRunExitWithZero() {
        assertThat(run("version")).isZero();
        assertThat(out.toString()).startsWith("cypressglade ");
        out.reset();
        assertThat(run("adapter")).isZero();
        assertThat(out.size()).isZero();
    }
}
