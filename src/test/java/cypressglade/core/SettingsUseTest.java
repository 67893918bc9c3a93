package cypressglade.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** What is read of the settings is asked by some decision. */
class SettingsUseTest {
    private static final Path SOURCES = Path.of("src/main/java");

    /** Where the settings are read and copied; use there is no use. */
    private static final Set<String> READERS =
            Set.of("SettingsParser.java", "Scheduler.java", "FrameReader.java");

    /** No decision needs these: what each permits is never done, or what it demands always is. */
    private static final Set<String> UNUSED_BY_DESIGN =
            Set.of(
                    "mayMessagePeers", // the policy sends no messages on the platform's channel
                    "stopSendingWithinUs", // a node that drains gets nothing from then on
                    "askWithinUs", // discovery is always watched
                    "lateWorth", // a request is judged by the worth of its answer in time
                    "streamed", // answers are passed on by their length, not by their class
                    "targetLatencyStretch", // targets do not grow with a request's size
                    "meterPeriodUs", // reports of use are taken as they come
                    "reportsOthersUnits"); // such reports are not used

    /** Guards against a permission that is read and that nobody asks. */
    @Test
    void eachFieldOfTheSettingsIsAskedOrListedAsUnused() throws IOException {
        String program = program();
        Set<String> unused =
                Stream.of(
                                Scheduler.Settings.class,
                                Scheduler.Limits.class,
                                Scheduler.RequestClass.class,
                                Scheduler.RequestRules.class,
                                Scheduler.Plan.class)
                        .flatMap(type -> Arrays.stream(type.getRecordComponents()))
                        .map(RecordComponent::getName)
                        .filter(name -> !isAsked(program, name))
                        .collect(Collectors.toCollection(TreeSet::new));
        assertThat(unused).isEqualTo(new TreeSet<>(UNUSED_BY_DESIGN));
    }

    private static boolean isAsked(String program, String name) {
        return Pattern.compile("(\\.|::)" + name + "\\b").matcher(program).find();
    }

    private static String program() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            StringBuilder program = new StringBuilder();
            for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
                if (!READERS.contains(file.getFileName().toString())) {
                    program.append(Files.readString(file));
                }
            }
            return program.toString();
        }
    }
}
