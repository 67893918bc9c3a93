package cypressglade.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import cypressglade.lab.MemberNet;
import cypressglade.member.Member;
import cypressglade.member.Member.State;
import cypressglade.member.SwimSettings;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The view's JSON lines, which operators and the process tests read, and the bounds. */
class ViewTest {
    private final View view = new View("m-0", Instant.EPOCH);

    private static Member member(String name, long life, State state) {
        return new Member(name, MemberNet.address(1), life, 3, state);
    }

    private static JsonNode json(String line) throws Exception {
        return new ObjectMapper().readTree(line);
    }

    @Test
    void changesAreCountedWithFlapsAndTheViewTellsHowLongItIsUnchanged() throws Exception {
        JsonNode first =
                json(view.recordChange(member("m-1", 7, State.ALIVE), Instant.ofEpochSecond(1)));
        assertThat(first.path("fleet").asText()).isEqualTo("change");
        assertThat(first.path("member").path("state").asText()).isEqualTo("alive");
        assertThat(first.path("member").path("address").asText()).isEqualTo("127.0.0.1:1001");
        view.recordChange(member("m-1", 7, State.SUSPECT), Instant.ofEpochSecond(2));
        // refuted in time: not a flap
        view.recordChange(member("m-1", 7, State.ALIVE), Instant.ofEpochSecond(3));
        view.recordChange(member("m-1", 7, State.DEAD), Instant.ofEpochSecond(4));
        view.recordChange(member("m-1", 8, State.ALIVE), Instant.ofEpochSecond(5));
        MemberNet net = new MemberNet(1, SwimSettings.defaults());
        JsonNode whole = json(view.toJson(net.start(0), Instant.ofEpochSecond(9)).toString());
        assertThat(whole.path("flaps").asLong()).isEqualTo(1);
        assertThat(whole.path("changes").asLong()).isEqualTo(5);
        assertThat(whole.path("settled_ms").asLong()).isEqualTo(4000);
        assertThat(whole.path("counts").path("alive").asInt()).isEqualTo(1);
        assertThat(whole.path("members").get(0).path("since_ms").asLong()).isEqualTo(4000);
        assertThat(whole.path("members").get(0).path("life").asText()).isEqualTo("8");
        view.retain(List.of());
        assertThat(
                        json(view.toJson(net.start(0), Instant.ofEpochSecond(9)).toString())
                                .path("members"))
                .isEmpty();
    }

    @Test
    void refusedNameIsReportedOncePerProcess() throws Exception {
        JsonNode line =
                json(
                        view.recordRefusal(
                                member("m-1", 7, State.ALIVE),
                                member("m-1", 9, State.ALIVE),
                                Instant.EPOCH));
        assertThat(line.path("fleet").asText()).isEqualTo("name_refused");
        assertThat(line.path("claim").path("life").asText()).isEqualTo("9");
        assertThat(line.path("remedy").asText()).contains("another name");
        assertThat(
                        view.recordRefusal(
                                member("m-1", 7, State.ALIVE),
                                member("m-1", 9, State.ALIVE),
                                Instant.EPOCH))
                .isEmpty();
        assertThat(
                        view.recordRefusal(
                                member("m-1", 7, State.ALIVE),
                                member("m-1", 10, State.ALIVE),
                                Instant.EPOCH))
                .isNotEmpty();
    }

    @Test
    void boundsGrowWithTheLogarithmOfTheSizeAndWithThePeriod() {
        Bounds five = new Bounds(SwimSettings.withPeriod(Duration.ofMillis(200)), 5);
        assertThat(five.detectionTime()).isEqualTo(Duration.ofMillis(4000));
        assertThat(new Bounds(SwimSettings.defaults(), 5).detectionTime())
                .isEqualTo(five.detectionTime().multipliedBy(5));
        assertThat(new Bounds(SwimSettings.defaults(), 1000).detectionTime())
                .isEqualTo(Duration.ofSeconds(62));
        assertThat(five.messagesPerPeriod(0, 0)).isEqualTo(2);
        assertThat(five.messagesPerPeriod(0.1, 0.05))
                .isBetween(2.8, 3.5)
                .isEqualTo(new Bounds(SwimSettings.defaults(), 1000).messagesPerPeriod(0.1, 0.05));
        assertThat(five.splitDetectionTime(2))
                .isBetween(five.detectionTime(), five.detectionTime().multipliedBy(2));
    }
}
