package cypressglade.cli;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.config.Config;
import cypressglade.config.ConfigException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What is played before the doors open. */
class RehearsalTest {
    @TempDir private Path folder;

    private Config config(String... changes) throws IOException, ConfigException {
        String text = Files.readString(Path.of("deploy/config.example.json"));
        for (int i = 0; i < changes.length; i += 2) {
            assertThat(text).contains(changes[i]);
            text = text.replace(changes[i], changes[i + 1]);
        }
        return Config.read(Files.writeString(folder.resolve("config.json"), text));
    }

    /**
     * Guards against a start that waits in a large fleet, where little comes to each and all may be
     * away.
     */
    @ParameterizedTest
    @CsvSource({
        "1, 1, 400000, 8",
        "4, 10, 150000, 500",
        "4, 10, 400000, 20",
        "14, 60, 450000, 177",
        "14, 60, 500000, 131",
        "200, 60, 400000, 8"
    })
    void playsWhatComesInTheFirstSeconds(int heads, int nodes, String aim, int requests)
            throws Exception {
        Config config =
                config(
                        "\"balancers\":1",
                        "\"balancers\":" + heads,
                        "\"objectiveUs\":400000",
                        "\"objectiveUs\":" + aim);
        assertThat(Rehearsal.requests(config.settings(), nodes)).isEqualTo(requests);
    }

    /**
     * Guards against a rehearsal that waits for the store of a limit, and keeps the doors closed
     * meanwhile.
     */
    @Test
    void plansWithALimitDoNotHoldItUp() throws Exception {
        Config config =
                config(
                        "\"limitBurst\":8",
                        "\"limitBurst\":0.5",
                        "\"objectiveUs\":400000",
                        "\"objectiveUs\":20000");
        assertThat(Rehearsal.play(config)).isEqualTo(Rehearsal.requests(config.settings(), 1));
    }
}
